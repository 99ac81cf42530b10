#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class FleetSync;
class RouterState;

/// Records in the store at which software version the streams of this router's group began, while a service has
/// several versions, so that they can be taken up at routers of other groups and after a loss of the group's memory.
/// The primary watcher of the group does so; its standbys record what is still missing later. Used from one thread.
class StreamOriginKeeper
{
public:
    /// Shortest interval between two records. Streams that began within the interval are not known if all routers are
    /// lost.
    static constexpr Millis MinInterval{200};
    /// Interval for each group, so that all groups together write at most ten records a second.
    static constexpr Millis IntervalPerGroup{100};
    /// Time after which the next watcher records what is missing.
    static constexpr Millis TakeoverDelay{1500};

    StreamOriginKeeper(RouterState &state, FleetSync &sync);

    /// Returns the interval between two records of one group.
    static Millis interval(std::size_t groups);
    /// Returns how long it takes until a router knows, at the latest, at which version a stream began at another one,
    /// unless datagrams are lost.
    /// @param groups number of groups of routers.
    static Millis newsDelay(std::size_t groups);
    /// Writes records until RouterState::stopping is set.
    boost::asio::awaitable<void> run();

private:
    RouterState &state;
    FleetSync &sync;
};

}
