#pragma once

#include "cyclamencross/base/timing.h"

#include <optional>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class FleetSync;
class RouterState;

/// Keeps the containments of crash suspects in the store, so that routers that start later know them. All routers have
/// about the same containments; one of them writes a lasting difference first, and the others only if it stays. Used
/// from one thread.
class ContainmentKeeper
{
public:
    /// Interval between two comparisons.
    static constexpr Millis Period{100};
    /// Time for which a difference must last. The first crashes may still be attributed to another cause.
    static constexpr Millis SettleTime{700};
    /// Time after which the next router writes a difference: a write and the report of the change to peers take less.
    static constexpr Millis TakeoverDelay{700};
    /// Difference of times that is not written: those in the store are in seconds, by clocks that differ.
    static constexpr Millis TimeTolerance{3000};
    /// Time after a write until this router writes again. Doubles with each further one, up to MaxWritePause.
    static constexpr Millis WritePause{1000};
    static constexpr Millis MaxWritePause{60000};

    ContainmentKeeper(RouterState &state, FleetSync &sync);

    /// Writes differences until RouterState::stopping is set.
    boost::asio::awaitable<void> run();

private:
    /// Returns whether the containments of this router differ from those in the store.
    bool isDifferent() const;

    RouterState &state;
    FleetSync &sync;
    std::optional<TimePoint> differentSince;
    TimePoint nextWrite;
    Millis writePause = WritePause;
};

}
