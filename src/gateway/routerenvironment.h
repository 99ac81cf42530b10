#pragma once

#include "asioutil.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

/// The clocks, the timer and the random seed on which the decisions of one router run. The defaults are those of the
/// process; tests hand in virtual ones, so that a run can be repeated exactly.
struct RouterEnvironment
{
    /// Returns the time of the steady clock.
    std::function<TimePoint()> now = [] { return Clock::now(); };
    /// Returns the time since the host was started, including the time for which it was suspended.
    std::function<Clock::duration()> bootTime = [] { return Cyclamen::bootTime(); };
    /// Returns the wall-clock time in seconds since the Unix epoch.
    std::function<std::int64_t()> unixSeconds = [] { return Cyclamen::unixSeconds(); };
    /// Suspends the calling coroutine for a duration on the clock of now().
    std::function<boost::asio::awaitable<void>(Millis duration)> sleep = [](Millis duration) {
        return sleepFor(duration);
    };
    /// Seed of the router's random numbers.
    std::uint64_t seed = randomNumber();
};

}
