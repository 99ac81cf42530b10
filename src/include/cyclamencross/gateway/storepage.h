#pragma once

#include "cyclamencross/gateway/storeitem.h"

#include <cstdint>
#include <vector>

namespace Cyclamen
{

/// Items or changes read from the store.
struct StorePage
{
    std::vector<StoreItem> items;
    std::uint64_t revision = 0; ///< Store revision up to which the page holds.

    bool operator==(const StorePage &) const = default;
};

}
