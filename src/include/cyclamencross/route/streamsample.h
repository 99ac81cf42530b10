#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// What a completed stream shows about the length and the pace of streams.
struct StreamSample
{
    std::string route;
    std::string service;
    std::int64_t expectedTokens = 0; ///< The caller's estimate of the output; 0 if there was none.
    std::int64_t events = 0; ///< Events that the stream consisted of.
    double millisPerEvent = 0; ///< Average time between two events.

    bool operator==(const StreamSample &) const = default;
};

}
