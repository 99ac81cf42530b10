#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// Decides when a request that waits for free capacity at the backend servers of its service tries again. This matters
/// in bursts that exceed the capacity: requests that can still meet their latency target go first, and late ones yield
/// to the on-time requests of all routers that share the backend servers. Otherwise the capacity would go to the
/// requests that have waited longest, and soon all requests would be served late.
class CapacityWait
{
public:
    /// What a waiting request does next.
    enum class Action {
        Try, ///< Try to find a backend server with free capacity.
        Yield, ///< Leave free capacity to requests that can still be on time.
        TryLast, ///< Try a last time, then give up: it is too late to be useful.
        GiveUp, ///< Give up without a further try: the room belongs to others.
    };

    /// What a request knows of others that need room at the same backend servers, if these have an order.
    struct Others
    {
        bool aheadHere = false; ///< One at this router goes first.
        bool moreUrgentInGroup = false; ///< One of a more urgent class waits on time at a router of the group.
        bool onTimeInGroup = false; ///< Any other waits on time at a router of the group.
        Millis expectedWait{0}; ///< Behind the more urgent ones.

        bool operator==(const Others &) const = default;
    };

    /// Shortest delay between two attempts, for requests that can still be on time and for late ones. The longer delay
    /// of late requests leaves time for the reports of other routers to arrive.
    static constexpr Millis OnTimeRetryDelay{15};
    static constexpr Millis LateRetryDelay{120};

    /// @param start time from which the wait is counted.
    /// @param onTimeFor how long after @p start a request that finds capacity can still be on time.
    /// @param maxWait how long after @p start the wait ends.
    CapacityWait(TimePoint start, Millis onTimeFor, Millis maxWait);

    /// Returns when the wait ends.
    TimePoint endsAt() const;
    /// Returns until when a request that finds capacity can be on time.
    TimePoint onTimeEnd() const;
    /// Returns whether a request that finds capacity now can still be on time.
    bool isOnTime(TimePoint now) const;
    /// Returns what the request does at @p now.
    /// @param othersOnTime whether other requests that can still be on time wait for the same backend servers.
    Action nextAction(TimePoint now, bool othersOnTime) const;
    /// Returns whether others go before a request whose service has an order of urgency.
    bool isBehind(TimePoint now, const Others &others) const;
    /// Returns what a request does at @p now whose service has an order of urgency. A request that is not expected to
    /// get room before its wait ends gives up at once, so that its caller can return while there is time.
    Action nextAction(TimePoint now, const Others &others) const;
    /// Returns the delay before the next attempt, which is up to twice the shortest one.
    /// @param random number from 0 to 1; spreads the attempts of requests that arrived together.
    Millis retryDelay(TimePoint now, double random) const;

private:
    TimePoint onTimeUntil;
    TimePoint end;
};

}
