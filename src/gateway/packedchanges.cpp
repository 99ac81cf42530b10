#include "packedchanges.h"

#include "boundedinputarchive.h"
#include "revisionarchive.h"
#include "storechanges.h"

#include <cstdint>
#include <sstream>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <zlib.h>

namespace Cyclamen
{

namespace
{

// Larger than a value of the store can be, with its key and its length.
constexpr std::uint64_t MaxUnpackedBytes = 4U << 20U;

}

template<typename Archive>
void serialize(Archive &archive, StoreItem &item)
{
    archive(item.key, item.value, item.revision, item.removed);
}

template<typename Archive>
void serialize(Archive &archive, StoreChanges &changes)
{
    archive(changes.after, changes.upTo, changes.isSnapshotDiff, changes.items);
}

std::string packChanges(const StoreChanges &changes)
{
    std::ostringstream output;
    {
        cereal::PortableBinaryOutputArchive archive(output);
        archive(changes);
    }
    const std::string plain = output.str();
    uLongf size = compressBound(uLong(plain.size()));
    std::string compressed(size, '\0');
    compress2(reinterpret_cast<Bytef *>(compressed.data()), &size, reinterpret_cast<const Bytef *>(plain.data()),
              uLong(plain.size()), Z_BEST_SPEED);
    compressed.resize(size);
    std::ostringstream packed;
    {
        cereal::PortableBinaryOutputArchive archive(packed);
        archive(std::uint64_t(plain.size()), compressed);
    }
    return packed.str();
}

bool unpackChanges(const std::string &bytes, StoreChanges &changes)
{
    try {
        std::uint64_t plainSize = 0;
        std::string compressed;
        BoundedInputArchive packed(bytes);
        packed(plainSize, compressed);
        if (!packed.isAtEnd() || plainSize > MaxUnpackedBytes) {
            return false;
        }
        std::string plain(plainSize, '\0');
        uLongf size = uLongf(plainSize);
        const int result = uncompress(reinterpret_cast<Bytef *>(plain.data()), &size,
                                      reinterpret_cast<const Bytef *>(compressed.data()), uLong(compressed.size()));
        if (result != Z_OK || size != plainSize) {
            return false;
        }
        BoundedInputArchive archive(plain);
        archive(changes);
        return archive.isAtEnd();
    } catch (const cereal::Exception &) {
        return false;
    }
}

}
