#include "cyclamencross/route/stopschedule.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("A stopping router refuses requests that were sent three seconds after the stop signal")
{
    // Guards against streams that are accepted late in the grace period and are cut when the process exits (review
    // case 2): the router accepted requests until 3.5 s before the end of the grace period.
    const TimePoint begin = Clock::now();
    for (const Millis grace : {Millis(4000), Millis(8000), Millis(30000)}) {
        const StopSchedule schedule(begin, grace);
        CHECK(schedule.refuseAt() + Millis(300) < begin + Millis(3000));
        CHECK(schedule.refuseAt() >= begin);
        CHECK(schedule.endAt() - schedule.refuseAt() >= std::min(grace, StopSchedule::MinFinishPeriod) - Millis(400));
        CHECK(schedule.endAt() < begin + grace);
    }
}

TEST_CASE("A router without a grace period stops at once")
{
    const TimePoint begin = Clock::now();
    CHECK(StopSchedule(begin, Millis(0)).refuseAt() == begin);
    CHECK(StopSchedule(begin, Millis(0)).endAt() == begin);
}

TEST_CASE("A request that is expected to outlast the stop is not accepted")
{
    // Guards against long streams that are accepted early in the grace period and cut at its end.
    const TimePoint begin = Clock::now();
    const StopSchedule schedule(begin, Millis(8000));
    CHECK(schedule.canFinish(begin + Millis(2000), Millis(5000)));
    CHECK_FALSE(schedule.canFinish(begin + Millis(2000), Millis(6000)));
}
