#pragma once

#include "cyclamencross/base/timing.h"

#include <array>

namespace Cyclamen
{

/// Shows how late the event loop handles events, by a tick that the loop runs periodically. Used from one thread.
class EventLoopMonitor
{
public:
    static constexpr Millis TickPeriod{50};
    /// Delay of a tick from which the loop counts as late: callers notice it.
    static constexpr Millis LateDelay{250};

    /// @param now time at which the loop starts.
    explicit EventLoopMonitor(TimePoint now);

    /// Records a tick at @p now.
    /// @return how much later it came than it was due.
    Millis tick(TimePoint now);
    /// Returns a time before which no event can have arrived that is handled between the last tick and the next one. At
    /// most two ticks run between the arrival of an event and its handling: one in the pass of the loop in which it
    /// arrives, one in the pass that handles it.
    TimePoint earliestArrival() const;

private:
    std::array<TimePoint, 3> ticks; ///< The latest ones, the oldest first.
};

}
