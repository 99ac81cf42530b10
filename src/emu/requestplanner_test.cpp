#include "requestplanner.h"

#include <cmath>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

std::vector<RequestPlan> drawAll(const LoadOptions &options)
{
    std::vector<RequestPlan> plans;
    RequestPlanner planner(options);
    while (const auto plan = planner.next()) {
        plans.push_back(*plan);
    }
    return plans;
}

}

TEST_CASE("The same seed gives the same requests and another seed gives different ones", "[emu]")
{
    // Guards against benchmark runs with the same options that are not comparable.
    LoadOptions options;
    options.rate = 50;
    const auto first = drawAll(options);
    const auto again = drawAll(options);
    REQUIRE(first.size() == again.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].arrival == again[i].arrival);
        CHECK(makePrompt(first[i]) == makePrompt(again[i]));
    }
    options.seed = 2;
    CHECK(drawAll(options).front().arrival != first.front().arrival);
}

TEST_CASE("Arrivals have the configured rate and prompts the configured lengths", "[emu]")
{
    // Guards against a benchmark whose actual load differs from the load in its table.
    LoadOptions options;
    options.rate = 200;
    options.duration = 100;
    options.promptMin = 100;
    options.promptMax = 10000;
    const auto plans = drawAll(options);
    // 20,000 are expected; five standard deviations of the Poisson distribution are about 707.
    CHECK(std::abs(double(plans.size()) - 20000) < 707);
    std::size_t belowMiddle = 0;
    for (const RequestPlan &plan : plans) {
        CHECK(plan.promptTokens >= 99);
        CHECK(plan.promptTokens <= 10000);
        belowMiddle += plan.promptTokens < 1000 ? 1 : 0;
    }
    // The logarithm is uniformly distributed, so half of the lengths lie below the geometric mean.
    CHECK(std::abs(double(belowMiddle) / double(plans.size()) - 0.5) < 0.02);
}

TEST_CASE("A prompt has its planned length and shares its prefix only within the workspace", "[emu]")
{
    // Guards against prompts that hit the prefix cache by accident.
    RequestPlan plan;
    plan.workspace = "one";
    plan.promptTokens = 1000;
    plan.sharedPrefix = true;
    plan.seed = 1;
    RequestPlan other = plan;
    other.seed = 2;
    CHECK(makePrompt(plan).size() == 4000);
    CHECK(makePrompt(plan).substr(0, 1200) == makePrompt(other).substr(0, 1200));
    CHECK(makePrompt(plan) != makePrompt(other));
    other.workspace = "two";
    CHECK(makePrompt(plan).substr(0, 256) != makePrompt(other).substr(0, 256));
}
