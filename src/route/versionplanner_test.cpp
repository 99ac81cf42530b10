#include "cyclamencross/route/versionplanner.h"

#include <optional>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

using State = ServiceVersions::State;

}

TEST_CASE("The first versions of a service open at once")
{
    // Guards against a fleet that starts and serves no stream for the settle time.
    VersionPlanner planner;
    const auto next = planner.next(ServiceVersions(), {{"s", {"v1", "v2"}}}, TimePoint());
    CHECK(next == ServiceVersions({{"s", {{"v1", State::Open}, {"v2", State::Open}}}}));
}

TEST_CASE("A further version opens only after it was announced for the settle time")
{
    // Guards against streams that begin at a version while a router still takes the other one for the only one.
    VersionPlanner planner;
    const TimePoint start;
    const ServiceVersions one({{"s", {{"v1", State::Open}}}});
    const VersionPlanner::Registered both{{"s", {"v1", "v2"}}};
    const auto announced = planner.next(one, both, start);
    REQUIRE(announced == one.with("s", "v2", State::Announced));
    // The time counts from when the record is seen, not from when it was proposed.
    CHECK_FALSE(planner.next(*announced, both, start + VersionPlanner::SettleTime));
    const TimePoint seen = start + VersionPlanner::SettleTime;
    CHECK_FALSE(planner.next(*announced, both, seen + VersionPlanner::SettleTime - Millis(1)));
    CHECK(planner.next(*announced, both, seen + VersionPlanner::SettleTime) == one.with("s", "v2", State::Open));
}

TEST_CASE("A version goes when no stream of it can be left, but never the last one")
{
    // Guards against a router that takes the other version for the only one while streams of this one are taken up.
    VersionPlanner planner;
    const TimePoint start;
    const ServiceVersions both({{"s", {{"v1", State::Open}, {"v2", State::Open}}}});
    CHECK_FALSE(planner.next(both, {{"s", {"v2"}}}, start));
    CHECK_FALSE(planner.next(both, {{"s", {"v2"}}}, start + VersionPlanner::RetireTime - Millis(1)));
    CHECK(planner.next(both, {{"s", {"v2"}}}, start + VersionPlanner::RetireTime) == both.without("s", "v1"));
    SECTION("One that returned counts from the beginning")
    {
        CHECK_FALSE(planner.next(both, {{"s", {"v1", "v2"}}}, start + Millis(1)));
        CHECK_FALSE(planner.next(both, {{"s", {"v2"}}}, start + VersionPlanner::RetireTime));
    }
    SECTION("The last one stays")
    {
        const ServiceVersions last = both.without("s", "v1");
        CHECK_FALSE(planner.next(last, {}, start));
        CHECK_FALSE(planner.next(last, {}, start + VersionPlanner::RetireTime));
    }
}

TEST_CASE("No router takes a version for the only one once streams begin at another")
{
    // Guards against joined streams at routers that learn of changes late: plays records that reach three routers after
    // random delays, and holds against each other what they would do at the same moment.
    std::mt19937_64 random(20261207);
    const auto delay = [&random](int max) { return Millis(std::int64_t(random() % std::uint64_t(max))); };
    for (int play = 0; play < 500; ++play) {
        const TimePoint start;
        const VersionPlanner::Registered both{{"s", {"v1", "v2"}}};
        VersionPlanner planner;
        std::vector<std::pair<TimePoint, ServiceVersions>> history{
            {start, ServiceVersions({{"s", {{"v1", State::Open}}}})}};
        struct Router
        {
            ServiceVersions known;
            TimePoint certainUntil; // All changes before this are known.
        };
        std::vector<Router> routers(3, Router{history.back().second, start});
        for (TimePoint now = start; now < start + Millis(6000); now += Millis(50)) {
            for (Router &router : routers) {
                // A read of the store, which is some time old when it is applied.
                if (random() % 8 == 0) {
                    router.certainUntil = std::max(router.certainUntil, now - delay(300));
                    for (const auto &[written, versions] : history) {
                        router.known = written <= router.certainUntil ? versions : router.known;
                    }
                }
            }
            // The first router keeps the record.
            if (const auto next = planner.next(routers[0].known, both, now);
                next && routers[0].known == history.back().second) {
                history.emplace_back(now + delay(200), *next);
            }
            for (const Router &begins : routers) {
                for (const Router &takesUp : routers) {
                    const bool trusts = now - takesUp.certainUntil <= VersionPlanner::TrustAge;
                    const bool joins = trusts && takesUp.known.only("s") == std::optional<std::string>("v1")
                        && begins.known.isOpen("s", "v2");
                    REQUIRE_FALSE(joins);
                }
            }
        }
        CHECK(history.size() == 3);
    }
}
