#pragma once

#include "cyclamencross/route/storerevision.h"

#include <string>

namespace Cyclamen
{

/// One item of the platform's key-value store, or the removal of one.
struct StoreItem
{
    std::string key;
    std::string value;
    StoreRevision revision; ///< Store revision of the write or the removal.
    bool removed = false;

    bool operator==(const StoreItem &) const = default;
};

}
