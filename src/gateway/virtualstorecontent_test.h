#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/storeitem.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Cyclamen
{

/// What VirtualStore holds at one time, and a copy of it. The generation is no part of it.
struct VirtualStoreContent
{
    struct Lease
    {
        Millis lifetime;
        TimePoint expiry;
    };

    std::map<std::string, std::pair<StoreItem, std::uint64_t>> items; ///< With their leases.
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t nextLease = 1;
    std::uint64_t revision = 0;
    std::deque<StoreItem> history;
    std::uint64_t droppedUpTo = 0;
    bool hidesDropped = false;
};

}
