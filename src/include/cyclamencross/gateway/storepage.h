#pragma once

#include "cyclamencross/gateway/storeitem.h"
#include "cyclamencross/route/storerevision.h"

#include <vector>

namespace Cyclamen
{

/// The items or changes that one read of the store returned.
struct StorePage
{
    std::vector<StoreItem> items;
    StoreRevision revision; ///< Store revision up to which the page is complete.

    bool operator==(const StorePage &) const = default;
};

}
