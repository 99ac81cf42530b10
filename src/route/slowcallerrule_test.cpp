#include "cyclamencross/route/slowcallerrule.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;
using Action = SlowCallerRule::Action;

TEST_CASE("A slow caller does not delay its engine before its buffer is full, and is cut after a pause")
{
    constexpr std::size_t Max = SlowCallerRule::MaxUnsentBytes;
    CHECK(SlowCallerRule::nextAction(0, true, Millis(0)) == Action::ReadOn);
    CHECK(SlowCallerRule::nextAction(Max, true, Millis(0)) == Action::ReadOn);
    CHECK(SlowCallerRule::nextAction(Max + 1, true, Millis(0)) == Action::Pause);
    CHECK(SlowCallerRule::nextAction(Max + 1, true, SlowCallerRule::MaxPause - Millis(1)) == Action::Pause);
    CHECK(SlowCallerRule::nextAction(Max + 1, true, SlowCallerRule::MaxPause) == Action::Cut);
    // One that reads in time stays.
    CHECK(SlowCallerRule::nextAction(Max, true, SlowCallerRule::MaxPause) == Action::ReadOn);
}

TEST_CASE("Without memory for all callers, the engine is read on only when everything has been sent")
{
    CHECK(SlowCallerRule::nextAction(0, false, Millis(0)) == Action::ReadOn);
    CHECK(SlowCallerRule::nextAction(1, false, Millis(0)) == Action::Pause);
    CHECK(SlowCallerRule::nextAction(1, false, SlowCallerRule::MaxPause) == Action::Cut);
    CHECK_FALSE(SlowCallerRule::mayReplace(SlowCallerRule::MinStalledTime - Millis(1)));
    CHECK(SlowCallerRule::mayReplace(SlowCallerRule::MinStalledTime));
}
