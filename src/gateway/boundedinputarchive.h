#pragma once

#include <cstddef>
#include <cstring>
#include <string_view>

#include <cereal/cereal.hpp>

namespace Cyclamen
{

/// Reads what a cereal::PortableBinaryOutputArchive of a little-endian host has written. Unlike cereal's own archive it
/// checks the length of each container against the bytes that remain, before memory is allocated for it, so that a
/// malformed datagram cannot exhaust the memory of the process. Throws cereal::Exception if the bytes are malformed.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>
{
public:
    explicit BoundedInputArchive(std::string_view bytes)
        : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this)
        , remaining(bytes)
    {
        unsigned char littleEndian = 0;
        this->loadBytes(&littleEndian, sizeof littleEndian);
        if (littleEndian != 1) {
            throw cereal::Exception("not little-endian");
        }
    }

    /// Reads @p size bytes into @p data.
    void loadBytes(void *data, std::size_t size)
    {
        if (size > this->remaining.size()) {
            throw cereal::Exception("truncated");
        }
        std::memcpy(data, this->remaining.data(), size);
        this->remaining.remove_prefix(size);
    }
    /// Checks the number of elements of a container, each of which takes at least one byte.
    void checkCount(std::size_t count) const
    {
        if (count > this->remaining.size()) {
            throw cereal::Exception("container longer than the data");
        }
    }
    /// Returns whether all bytes were read.
    bool isAtEnd() const
    {
        return this->remaining.empty();
    }

private:
    std::string_view remaining;
};

// The functions through which cereal reads the elements of an archive.

template<typename Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, Number &value)
{
    archive.loadBytes(&value, sizeof value);
}

/// Reading another byte than 0 or 1 into a bool would be undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, bool &value)
{
    unsigned char byte = 0;
    archive.loadBytes(&byte, sizeof byte);
    if (byte > 1) {
        throw cereal::Exception("not a bool");
    }
    value = byte == 1;
}

template<typename Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::BinaryData<Value> &data)
{
    archive.loadBytes(data.data, static_cast<std::size_t>(data.size));
}

template<typename Size>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::SizeTag<Size> &tag)
{
    archive(tag.size);
    archive.checkCount(static_cast<std::size_t>(tag.size));
}

template<typename Value>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

}
