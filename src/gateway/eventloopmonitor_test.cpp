#include "eventloopmonitor.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("The arrival of an event that a busy loop handles late is not taken for later than it was")
{
    // Guards against a stop that is timed from the handling of its signal: the signal arrives while a handler keeps the
    // loop busy, one tick follows in the same pass of the loop and one in the next, before the signal is handled.
    const TimePoint begin = Clock::now();
    EventLoopMonitor monitor(begin);
    monitor.tick(begin + Millis(50));
    const TimePoint arrival = begin + Millis(200);
    CHECK(monitor.tick(begin + Millis(1050)) == Millis(950));
    CHECK(monitor.tick(begin + Millis(1150)) == Millis(50));
    CHECK(monitor.earliestArrival() <= arrival);
}

TEST_CASE("On a calm event loop the time of an event is known to three ticks")
{
    const TimePoint begin = Clock::now();
    EventLoopMonitor monitor(begin);
    for (int i = 1; i <= 10; ++i) {
        CHECK(monitor.tick(begin + i * EventLoopMonitor::TickPeriod) == Millis(0));
    }
    CHECK(monitor.earliestArrival() == begin + 8 * EventLoopMonitor::TickPeriod);
}
