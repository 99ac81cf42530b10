#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/versionplanner.h"

#include <optional>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class FleetSync;
class RouterState;

/// Keeps the record of the software versions of the services in the store up to date. All routers see the same
/// registrations; one of them writes a change first, and the others only if it does not. Used from one thread.
class VersionKeeper
{
public:
    /// Interval between two comparisons.
    static constexpr Millis Period{50};
    /// Time after which the next router writes a change: a write and the report of the change to peers take less.
    static constexpr Millis TakeoverDelay{700};
    /// Time after a write until this router writes again.
    static constexpr Millis WritePause{300};

    VersionKeeper(RouterState &state, FleetSync &sync);

    /// Writes changes until RouterState::stopping is set.
    boost::asio::awaitable<void> run();

private:
    RouterState &state;
    FleetSync &sync;
    VersionPlanner planner;
    std::optional<TimePoint> dueSince;
    TimePoint nextWrite;
};

}
