#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Reply of an engine to GET /v1/cache_events: changes of its prefix cache.
struct CacheEvents
{
    struct Event
    {
        std::uint64_t sequence = 0;
        bool added = true; ///< False if the prefix was evicted.
        std::string prefix;

        bool operator==(const Event &) const = default;
    };

    std::uint64_t nextSequence = 0; ///< First sequence number of the next read.
    std::vector<Event> events;

    bool operator==(const CacheEvents &) const = default;
};

}
