#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamen
{

/// One reply of an engine to GET /v1/cache_events.
struct CacheEvents
{
    struct Event
    {
        std::uint64_t sequence = 0;
        bool added = true; ///< False: evicted.
        std::string prefix;

        bool operator==(const Event &) const = default;
    };

    std::uint64_t next = 0; ///< The sequence to ask for next.
    std::vector<Event> events;

    bool operator==(const CacheEvents &) const = default;
};

}
