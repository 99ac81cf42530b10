#pragma once

#include <cstdint>

namespace Cyclamen
{

/// A lease of the store. A store that returns from an older copy may give out its id again, so the id holds in one
/// generation only.
struct StoreLease
{
    std::uint64_t id = 0; ///< 0 if there is none.
    std::uint64_t generation = 0; ///< Generation of the store that granted it, see StoreRevision.

    bool operator==(const StoreLease &) const = default;
};

}
