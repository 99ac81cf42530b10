#include "routerstate.h"
#include "waitorder.h"

#include "cyclamencross/route/waitingkeys.h"
#include "cyclamencross/route/workspaceshares.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

struct Fixture
{
    boost::asio::io_context context;
    RouterState state{context.get_executor(), RouterSettings(), 1};
    TimePoint now = Clock::now();

    Urgency urgency(int priority) const
    {
        return Urgency(priority, this->now + Millis(60000), 100);
    }
    void applyWaiting(const std::map<std::string, BackendWork> &waiting)
    {
        PeerReport report;
        report.router = "peer";
        report.sequence = ++this->sequence;
        report.waiting = waiting;
        this->state.applyReport(report, this->now);
    }
    // Returns whether the metric of priority 1 at service "s" has a value.
    bool hasMetric(const std::string &name, int value) const
    {
        const std::string line = name + R"({priority="1",service="s"} )" + std::to_string(value);
        return this->state.metrics.serialize().find(line + "\n") != std::string::npos;
    }
    std::uint64_t sequence = 0;
};

}

TEST_CASE("A request yields to more urgent ones of other routers, and tells them its own class")
{
    Fixture fixture;
    WaitOrder order(fixture.state, "s", "r", "", fixture.urgency(1), 1);
    const int own = fixture.urgency(1).waitClass();
    CHECK(order.others(false, fixture.now) == CapacityWait::Others());
    order.report(fixture.now);
    // Only the service alone is known to routers of earlier builds; neither it nor equals are more urgent.
    fixture.applyWaiting({{"s", BackendWork{1, 0, {}}}, {WaitingKeys::ofClass("s", own), BackendWork{1, 0, {}}}});
    CHECK_FALSE(order.others(false, fixture.now).moreUrgentInGroup);
    CHECK(order.others(false, fixture.now).onTimeInGroup);
    fixture.applyWaiting({{WaitingKeys::ofClass("s", own - 1), BackendWork{1, 0, {}}}});
    CHECK(order.others(false, fixture.now).moreUrgentInGroup);
    CHECK_FALSE(order.others(false, fixture.now).aheadHere);
    // Guards against requests of one service that wait for those of another whose name begins alike.
    fixture.applyWaiting({{WaitingKeys::ofClass("s2", 0), BackendWork{1, 0, {}}}});
    CHECK_FALSE(order.others(false, fixture.now).moreUrgentInGroup);
    const auto report = fixture.state.takeReport(fixture.now);
    REQUIRE(report);
    CHECK(report->waiting.at(WaitingKeys::ofClass("s", own)) == BackendWork{1, 100, {}});
    CHECK(report->waiting.size() == 1);
    CHECK(fixture.hasMetric("cyclamencross_urgency_waiting", 1));
}

TEST_CASE("Requests that wait and that have yielded are counted by priority")
{
    Fixture fixture;
    {
        WaitOrder order(fixture.state, "s", "r", "", fixture.urgency(1), 1);
        order.recordAction(CapacityWait::Action::Yield, {}, fixture.now);
        order.recordAction(CapacityWait::Action::Yield, {}, fixture.now);
        fixture.state.takeReport(fixture.now);
        CHECK(fixture.hasMetric("cyclamencross_urgency_waiting", 1));
        CHECK(fixture.hasMetric("cyclamencross_urgency_yielded_total", 1));
    }
    // Guards against a request that is shown as waiting after its end.
    fixture.state.takeReport(fixture.now);
    CHECK(fixture.hasMetric("cyclamencross_urgency_waiting", 0));
}

TEST_CASE("A stream that has begun holds back the group only for a while")
{
    // Guards against less urgent requests of all routers that wait for one stream which has tried most engines.
    Fixture fixture;
    WaitOrder order(fixture.state, "s", "r", "", fixture.urgency(0).asBegun(), 1);
    order.recordAction(CapacityWait::Action::Try, {}, fixture.now);
    order.report(fixture.now);
    CHECK(fixture.state.waiting->own().size() == 1);
    order.report(fixture.now + UrgencyQueue::HoldTime);
    CHECK(fixture.state.waiting->own().empty());
}

TEST_CASE("A request that finds room has the next one try at once")
{
    // Guards against a long queue of late requests that uses little of the room at the end of a burst.
    Fixture fixture;
    auto first = std::make_unique<WaitOrder>(fixture.state, "s", "1", "", fixture.urgency(1), 1);
    WaitOrder next(fixture.state, "s", "2", "", fixture.urgency(1), 1);
    bool woken = false;
    const auto sleep = [](WaitOrder &order, bool &done) -> boost::asio::awaitable<void> {
        co_await order.sleep(Millis(60000));
        done = true;
    };
    boost::asio::co_spawn(fixture.context, sleep(next, woken), boost::asio::detached);
    fixture.context.run_for(Millis(10));
    CHECK_FALSE(woken);
    first->recordRoom(fixture.now);
    first->recordRoom(fixture.now);
    first = nullptr;
    fixture.context.run_for(Millis(2000)); // Ends with the coroutine.
    CHECK(woken);
}

TEST_CASE("A workspace whose work in the group exceeds its share goes after the others of its priority")
{
    Fixture fixture;
    fixture.applyWaiting({{WaitingKeys::ofWorkspace("s", "large"), BackendWork{9, 900, {}}},
                          {WaitingKeys::ofWorkspace("s", "small"), BackendWork{1, 100, {}}}});
    WaitOrder large(fixture.state, "s", "1", "large", fixture.urgency(1), 1);
    WaitOrder small(fixture.state, "s", "2", "small", fixture.urgency(1), 1);
    // Each call looks up the share of its own workspace, so the order of the calls matters.
    const bool largeWaits = large.others(false, fixture.now).aheadHere;
    const bool smallWaits = small.others(false, fixture.now).aheadHere;
    CHECK_FALSE(smallWaits == largeWaits);
    CHECK(large.others(false, fixture.now).aheadHere);
    CHECK_FALSE(small.others(false, fixture.now).aheadHere);
    // Reports end with the router that sent them.
    fixture.state.waiting->expire(fixture.now + BackendWorkTracker::PeerReportLifetime + Millis(1));
    CHECK_FALSE(large.others(false, fixture.now).aheadHere);
}

TEST_CASE("A report names only the workspaces with the most work")
{
    // Guards against reports that grow with the number of workspaces beyond a datagram.
    Fixture fixture;
    std::vector<std::unique_ptr<WorkReservation>> work;
    for (int i = 0; i < 100; ++i) {
        work.push_back(std::make_unique<WorkReservation>(
            fixture.state.waiting, WaitingKeys::ofWorkspace("s", std::to_string(i)), BackendWork{1, i, {}}));
    }
    const auto report = fixture.state.takeReport(fixture.now);
    REQUIRE(report);
    CHECK(report->waiting.size() == WorkspaceShares::MaxReported);
    CHECK(report->waiting.contains(WaitingKeys::ofWorkspace("s", "99")));
    // Guards against a report with each tick because what is left out looks like a change.
    CHECK_FALSE(fixture.state.takeReport(fixture.now + Millis(1)).has_value());
}
