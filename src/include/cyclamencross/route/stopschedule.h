#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// The phases of a planned stop of a router. It first accepts requests, since callers still use its address, then
/// refuses new ones while the running ones finish, answers those that have no response yet with a failure, and ends
/// before the platform kills it.
class StopSchedule
{
public:
    /// Longest time for which a stopping router accepts requests. Callers may count on the whole answer to a request
    /// that they sent three seconds after the stop signal or later, unless it is refused.
    static constexpr Millis MaxAcceptPeriod{2500};
    /// Shortest time for which requests that were accepted last can run.
    static constexpr Millis MinFinishPeriod{3500};
    /// How long idle connections of callers stay open after new requests are refused. Callers that keep addresses for
    /// long still use them, and a request that crosses the close of its connection gets no answer.
    static constexpr Millis IdleConnectionPeriod{1000};
    /// How long before the end of the grace period requests without a response are answered with a failure. On a busy
    /// host it takes some hundred milliseconds until all callers have received that.
    static constexpr Millis AnswerMargin{1000};
    /// How long before the end of the grace period, when the platform kills the process, it exits by itself.
    static constexpr Millis ShutdownMargin{100};

    /// @param begin time of the stop signal, or an earlier one if it is not known exactly.
    /// @param grace time from the stop signal until the platform kills the process.
    StopSchedule(TimePoint begin, Millis grace);

    /// Returns the time from which new requests are refused.
    TimePoint refuseAt() const;
    /// Returns the time at which idle connections of callers are closed.
    TimePoint closeIdleAt() const;
    /// Returns the time at which all requests that have no response yet are answered with a failure.
    TimePoint answerAt() const;
    /// Returns the time at which the process exits, whatever is running.
    TimePoint endAt() const;

    /// Returns the time from the stop signal to @p time in milliseconds; negative before it.
    Millis sinceBegin(TimePoint time) const;
    /// Returns whether a request that is expected to take @p duration from @p now on ends before the process exits. The
    /// others are refused, so that another router can serve them whole.
    bool canFinish(TimePoint now, Millis duration) const;

    bool operator==(const StopSchedule &) const = default;

private:
    TimePoint begin;
    Millis grace;
};

}
