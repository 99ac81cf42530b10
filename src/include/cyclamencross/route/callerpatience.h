#pragma once

#include "cyclamencross/base/timing.h"

#include <map>
#include <string>

namespace Cyclamen
{

/// Estimates how much of its time a caller had used up before it sent a request, from the time that it still allows and
/// the longest that callers of the same route have allowed lately. Tells requests that come back after a refusal from
/// new ones, since nothing else in a request does. Not thread-safe.
class CallerPatience
{
public:
    /// The longest time allowed is learned anew after each such period, as a route's callers may change; long enough
    /// for some dozen requests of a route at a router with one request a second.
    static constexpr Millis Period{20000};

    /// Takes the time that a request allows into account.
    /// @param allowed what the caller says it will wait; it counts up to @p timeout.
    /// @return the time used before; zero for the first request of a route.
    Millis usedBefore(const std::string &route, Millis allowed, Millis timeout, TimePoint now);

private:
    struct Record
    {
        Millis longest{0}; ///< In the current period.
        Millis longestBefore{0}; ///< In the period before.
        TimePoint periodEnd;
    };
    std::map<std::string, Record> records;
};

}
