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

TEST_CASE("The same seed gives the same requests and another seed others", "[emu]")
{
    // Guards against runs that can't be compared with one another.
    LoadOptions options;
    options.rate = 50;
    const auto first = drawAll(options);
    const auto again = drawAll(options);
    REQUIRE(first.size() == again.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].arrival == again[i].arrival);
        CHECK(promptOf(first[i]) == promptOf(again[i]));
    }
    options.seed = 2;
    CHECK(drawAll(options).front().arrival != first.front().arrival);
}

TEST_CASE("Arrivals have the wanted rate and prompts the wanted lengths", "[emu]")
{
    // Guards against a benchmark that offers another load than its table says.
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
    // The logarithm is uniform, so half of the lengths lie below the geometric mean.
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
    CHECK(promptOf(plan).size() == 4000);
    CHECK(promptOf(plan).substr(0, 1200) == promptOf(other).substr(0, 1200));
    CHECK(promptOf(plan) != promptOf(other));
    other.workspace = "two";
    CHECK(promptOf(plan).substr(0, 256) != promptOf(other).substr(0, 256));
}
