#include "cyclamencross/route/retryafter.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

TEST_CASE("A caller refused for lack of capacity returns later than after a disturbance, and has time left")
{
    // Guards against callers that return in the middle of the burst in which they were refused, and against callers
    // that ignore the delay because it exceeds a third of the time that they have left.
    const Millis left{12000};
    CHECK(RetryAfter::afterOverload(left, 0) > RetryAfter::afterDisturbance(1));
    CHECK(RetryAfter::afterOverload(left, 1) < left / 3);
    CHECK(RetryAfter::afterOverload(Millis(100), 1) >= RetryAfter::afterDisturbance(0));
}

TEST_CASE("Callers that are refused together return spread over time")
{
    const Millis left{12000};
    CHECK(RetryAfter::afterOverload(left, 1) - RetryAfter::afterOverload(left, 0) >= left / 10);
    CHECK(RetryAfter::afterDisturbance(1) - RetryAfter::afterDisturbance(0) >= Millis(300));
}

TEST_CASE("Callers return after the pause of all servers, not before and not all at its end")
{
    // Guards against a burst at the end of a pause, and against callers that are told to come back too early.
    for (const Millis remaining : {Millis(1), Millis(700), Millis(5000), Millis(600000)}) {
        CHECK(RetryAfter::afterPause(remaining, 0) == remaining);
        CHECK(RetryAfter::afterPause(remaining, 1) - remaining >= Millis(350));
        CHECK(RetryAfter::afterPause(remaining, 1) - remaining <= Millis(3000));
    }
    CHECK(RetryAfter::afterPause(Millis(-5), 0) == Millis(0));
}
