#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// Decides when a request that waits for room at the backend servers of its service looks for it again. Answers bursts
/// that exceed the room: requests that can still be on time go first, and late ones yield to those of all routers that
/// share the backend servers. Otherwise the room goes to whoever waits longest, and soon everyone is served late.
class RoomWait
{
public:
    /// What a request does now.
    enum class Turn {
        Look, ///< Look for room.
        Yield, ///< Leave the room to requests that can still be on time.
        End, ///< Look for room a last time; waiting longer serves nobody.
    };

    /// Pauses between two looks for room, of requests that can still be on time and of late ones. The longer one gives
    /// the reports of other routers time to arrive.
    static constexpr Millis OnTimePause{15};
    static constexpr Millis LatePause{120};

    /// @param begun when the wait counts from.
    /// @param onTimeFor how long after @p begun a request that finds room can still be on time.
    /// @param longest how long after @p begun the wait ends.
    RoomWait(TimePoint begun, Millis onTimeFor, Millis longest);

    /// Returns whether a request that finds room now can still be on time.
    bool isOnTime(TimePoint now) const;
    /// @param othersOnTime whether requests that can still be on time wait for room at the same backend servers.
    Turn turn(TimePoint now, bool othersOnTime) const;
    /// Returns the pause before the next look.
    /// @param random from 0 to 1; spreads the looks of requests that came together.
    Millis pause(TimePoint now, double random) const;

private:
    TimePoint onTimeUntil;
    TimePoint end;
};

}
