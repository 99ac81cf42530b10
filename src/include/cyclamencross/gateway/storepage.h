#pragma once

#include "cyclamencross/gateway/storeitem.h"

#include <cstdint>
#include <vector>

namespace Cyclamen
{

/// The items or changes that one read of the store returned.
struct StorePage
{
    std::vector<StoreItem> items;
    std::uint64_t revision = 0; ///< Store revision up to which the page is complete.
    std::uint64_t generation = 0; ///< Generation of the store that answered, see StateStore.

    bool operator==(const StorePage &) const = default;
};

}
