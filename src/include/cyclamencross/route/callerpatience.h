#pragma once

#include "cyclamencross/base/timing.h"

#include <map>
#include <string>

namespace Cyclamen
{

/// Estimates how much of its time budget a caller had used up before it sent a request: the longest time that callers
/// of the same route have recently allowed for an answer, less the time that this request allows. This tells requests
/// that are retried after a refusal from new ones; nothing else in a request does. Not thread-safe.
class CallerPatience
{
public:
    /// The longest allowed time of a route is determined anew in each such period, as the callers of a route may
    /// change. Long enough for some dozen requests of a route at a router that gets one request per second.
    static constexpr Millis Period{20000};

    /// Records the time that a request allows and estimates the time that its caller had spent before.
    /// @param allowed time that the caller still waits; values above @p timeout count as @p timeout.
    /// @param timeout longest time that the route keeps a caller waiting.
    /// @return the estimated time; zero for the first request of a route.
    Millis usedBefore(const std::string &route, Millis allowed, Millis timeout, TimePoint now);

private:
    struct Record
    {
        Millis longest{0}; ///< Longest allowed time in the current period.
        Millis previousLongest{0}; ///< Longest allowed time in the previous period.
        TimePoint periodEnd;
    };
    std::map<std::string, Record> records;
};

}
