#pragma once

#include "cyclamencross/gateway/storeitem.h"

#include <cstdint>
#include <vector>

namespace Cyclamen
{

/// Changes of the store that one router has seen and tells its peers.
struct StoreChanges
{
    std::uint64_t after = 0; ///< Revision after which the changes begin.
    std::uint64_t upTo = 0; ///< Newest revision that they cover; 0 if there is nothing to tell.
    /// They are the difference between two states, not each single change. What another router has learned in between
    /// may be missing, so they apply to the state at `after` only.
    bool difference = false;
    std::vector<StoreItem> items;

    bool operator==(const StoreChanges &) const = default;
};

}
