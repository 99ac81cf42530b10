#include "cyclamencross/route/stagebalancer.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Millis SamplePeriod{250};

// Records @p load for 5 s.
StageBalancer balancerAfter(const StageLoad &load)
{
    StageBalancer balancer;
    for (int i = 0; i < 20; ++i) {
        balancer.record(load, Start + i * SamplePeriod);
    }
    return balancer;
}

}

TEST_CASE("Idle prefill engines change to decode when decode engines are busy")
{
    // Guards against callers who are refused for lack of KV cache while most prefill engines are idle.
    CHECK(balancerAfter(StageLoad{84, 156, 20, 0.7, 1}).enginesToMove() == 26);
    SECTION("At most half of them change at once")
    {
        CHECK(balancerAfter(StageLoad{84, 156, 1, 0.7, 1}).enginesToMove() == 42);
    }
    SECTION("The required number of prefill engines remains")
    {
        CHECK(balancerAfter(StageLoad{84, 156, 20, 0.7, 80}).enginesToMove() == 4);
        CHECK(balancerAfter(StageLoad{1, 5, 0, 0.7, 1}).enginesToMove() == 0);
    }
    SECTION("No engine changes when decode engines have room, or prefill engines are busy enough for bursts")
    {
        CHECK(balancerAfter(StageLoad{84, 156, 20, 0.2, 1}).enginesToMove() == 0);
        CHECK(balancerAfter(StageLoad{3, 5, 1.2, 0.9, 1}).enginesToMove() == 0);
    }
}

TEST_CASE("Decode engines change to prefill when prompts queue and there is room to spare")
{
    CHECK(balancerAfter(StageLoad{4, 20, 8, 0.4, 1}).enginesToMove() == -10);
    CHECK(balancerAfter(StageLoad{4, 20, 8, 0.78, 1}).enginesToMove() == 0);
    CHECK(balancerAfter(StageLoad{4, 1, 8, 0.1, 1}).enginesToMove() == 0);
}

TEST_CASE("No decision is made before the load was seen for a while, nor right after a change")
{
    // Guards against engines that change back and forth with each burst.
    StageBalancer balancer;
    const StageLoad load{84, 156, 20, 0.7, 1};
    balancer.record(load, Start);
    balancer.record(load, Start + SamplePeriod);
    CHECK(balancer.enginesToMove() == 0);
    balancer.record(load, Start + StageBalancer::AveragingTime);
    CHECK(balancer.enginesToMove() > 0);
    balancer.reset();
    CHECK(balancer.enginesToMove() == 0);
}

TEST_CASE("The time before the first request does not count as low load")
{
    StageBalancer balancer;
    for (int i = 0; i < 40; ++i) {
        balancer.record(StageLoad{84, 156, 0, 0, 1}, Start + i * SamplePeriod);
    }
    balancer.record(StageLoad{84, 156, 40, 0.7, 1}, Start + Millis(10000));
    CHECK(balancer.enginesToMove() == 0);
}
