#include "datagramcodec.h"

#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sodium.h>

namespace Cyclamen
{

DatagramCodec::DatagramCodec(std::string_view sharedKey)
{
    // libsodium limits keys to 64 bytes, so the shared key, which may be longer, is hashed first.
    static_assert(std::tuple_size_v<decltype(this->key)> == crypto_generichash_KEYBYTES);
    crypto_generichash(this->key.data(), this->key.size(), reinterpret_cast<const unsigned char *>(sharedKey.data()),
                       sharedKey.size(), nullptr, 0);
}

std::string DatagramCodec::encode(const Datagram &datagram) const
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(datagram.sender, datagram.incarnation, datagram.sequence, static_cast<std::uint8_t>(datagram.kind),
                datagram.payload);
    }
    std::string bytes = stream.str();
    const Hash hash = this->hash(bytes);
    bytes.append(reinterpret_cast<const char *>(hash.data()), hash.size());
    return bytes;
}

std::optional<Datagram> DatagramCodec::decode(std::string_view bytes) const
{
    if (bytes.size() <= HashBytes) {
        return std::nullopt;
    }
    const std::string_view content = bytes.substr(0, bytes.size() - HashBytes);
    const Hash expected = this->hash(content);
    // Verified before decoding, so that forged lengths never reach the decoder.
    if (sodium_memcmp(expected.data(), bytes.data() + content.size(), HashBytes) != 0) {
        return std::nullopt;
    }
    try {
        std::istringstream stream{std::string(content)};
        cereal::PortableBinaryInputArchive archive(stream);
        Datagram datagram;
        std::uint8_t kind = 0;
        archive(datagram.sender, datagram.incarnation, datagram.sequence, kind, datagram.payload);
        datagram.kind = static_cast<DatagramKind>(kind);
        return datagram;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

DatagramCodec::Hash DatagramCodec::hash(std::string_view content) const
{
    Hash hash{};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char *>(content.data()),
                       content.size(), this->key.data(), this->key.size());
    return hash;
}

}
