#include "cyclamencross/decide/enginescheduler.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

const TimePoint Start{Millis(100000)};

EngineLoad makeLoad(std::uint32_t slots, TimePoint known, std::uint64_t queued = 0)
{
    return {"engine", slots, 0, queued, 10000, known};
}

SlotRequest makeRequest(const std::string &id, const std::string &workspace = "w", std::uint8_t priority = 1,
                        Millis maxWait = Millis(400))
{
    return {id, "engine", workspace, priority, 1, 0, maxWait};
}

std::string grantedIds(EngineScheduler &scheduler, TimePoint now)
{
    std::string ids;
    for (const auto &decision : scheduler.decide(now)) {
        ids += decision.grant ? decision.request.requestId + " " : "";
    }
    return ids;
}

}

// Guards against an owner that grants slots before it has read the engine, or from outdated state after its process was
// suspended.
TEST_CASE("nothing is granted without a fresh report")
{
    EngineScheduler scheduler("engine");
    scheduler.submit(makeRequest("a.1.1"), Start);
    CHECK(grantedIds(scheduler, Start).empty());
    scheduler.applyReport(makeLoad(2, Start + Millis(5)), {"b.2.1"}, Start + Millis(6));
    CHECK(grantedIds(scheduler, Start + Millis(6)) == "a.1.1 ");
    CHECK(scheduler.load(Start + Millis(6)).usedSlots == 2);

    const TimePoint woken = Start + Millis(10000);
    scheduler.submit(makeRequest("a.1.2"), woken);
    CHECK(grantedIds(scheduler, woken).empty());
    scheduler.applyLoad(makeLoad(2, woken + Millis(1)), woken + Millis(1));
    CHECK(grantedIds(scheduler, woken + Millis(1)).empty());
    scheduler.applyReport(makeLoad(2, woken + Millis(2)), {"c.3.1", "c.3.2"}, woken + Millis(2));
    CHECK(grantedIds(scheduler, woken + Millis(2)).empty());
    CHECK(scheduler.decide(woken + Millis(401)).at(0).reason == "wait-over");
    scheduler.submit(makeRequest("a.1.3"), woken + Millis(3000));
    const auto refused = scheduler.decide(woken + Millis(3000) + EngineScheduler::MaxReportWait + Millis(1));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == "no-fresh-report");
}

// Guards against prefills wasted on a decode engine that has just died, and against use of its old report after its
// return.
TEST_CASE("an unreachable engine gets no grants until the next full report")
{
    EngineScheduler scheduler("engine");
    scheduler.applyReport(makeLoad(2, Start), {}, Start);
    scheduler.setUnreachable();
    scheduler.submit(makeRequest("a.1.1"), Start + Millis(10));
    CHECK(grantedIds(scheduler, Start + Millis(10)).empty());
    scheduler.applyLoad(makeLoad(2, Start + Millis(20)), Start + Millis(20));
    CHECK(grantedIds(scheduler, Start + Millis(20)).empty());
    scheduler.applyReport(makeLoad(2, Start + Millis(30)), {"b.1.1"}, Start + Millis(30));
    CHECK(grantedIds(scheduler, Start + Millis(30)) == "a.1.1 ");
}

// Guards against requests whose time is used up by waits at several dead engines, so that none reaches a live one.
TEST_CASE("a slot request at an engine that refuses connections is refused soon")
{
    EngineScheduler scheduler("engine");
    scheduler.applyReport(makeLoad(2, Start), {}, Start);
    scheduler.setUnreachable();
    scheduler.submit(makeRequest("a.1.1"), Start + Millis(10));
    const auto refused = scheduler.decide(Start + Millis(10) + EngineScheduler::MaxUnreachableWait + Millis(1));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == EngineScheduler::NoFreshReportReason);
}

// Guards against a late duplicate of a slot request that takes a slot which is never released, and against a late
// release of an earlier slot request that frees the slot of a later one.
TEST_CASE("slot requests and releases are matched by sequence number")
{
    EngineScheduler scheduler("engine");
    scheduler.applyReport(makeLoad(1, Start), {}, Start);
    SlotRequest request = makeRequest("a.1.1");
    request.sequenceNumber = 1;
    scheduler.release(request.requestId, Start, 1);
    scheduler.submit(request, Start);
    CHECK(grantedIds(scheduler, Start).empty());
    request.sequenceNumber = 2;
    scheduler.submit(request, Start);
    CHECK(grantedIds(scheduler, Start) == "a.1.1 ");
    scheduler.release(request.requestId, Start, 1);
    CHECK(scheduler.load(Start).usedSlots == 1);
    scheduler.release(request.requestId, Start, 2);
    scheduler.release(request.requestId, Start, 2);
    CHECK(scheduler.load(Start).usedSlots == 0);
}

// Guards against one workspace that fills an engine while others wait, and against interactive requests queued behind
// those of lower priority.
TEST_CASE("slots are granted by priority, then fairly among workspaces")
{
    EngineScheduler scheduler("engine");
    scheduler.applyReport(makeLoad(1, Start), {"x.9.1"}, Start);
    for (int i = 0; i < 3; ++i) {
        scheduler.submit(makeRequest("a.1." + std::to_string(i), "greedy"), Start);
    }
    scheduler.submit(makeRequest("b.1.1", "modest"), Start + Millis(1));
    scheduler.submit(makeRequest("c.1.1", "late", 0), Start + Millis(2));
    scheduler.submit(makeRequest("d.1.1", "patient", 2), Start + Millis(3));
    std::string order;
    std::string last = "x.9.1";
    for (int i = 0; i < 6; ++i) {
        scheduler.release(last, Start + Millis(5));
        last = grantedIds(scheduler, Start + Millis(5));
        order += last;
        last.resize(last.size() - 1);
    }
    CHECK(order == "c.1.1 a.1.0 b.1.1 a.1.1 a.1.2 d.1.1 ");
}

// Guards against requests that wait for a slot which cannot come free in time: the requester needs that time to try
// another engine.
TEST_CASE("a wait that cannot be met is refused at once")
{
    EngineScheduler scheduler("engine");
    scheduler.applyReport(makeLoad(1, Start), {}, Start);
    scheduler.submit(makeRequest("a.1.1"), Start);
    CHECK(grantedIds(scheduler, Start) == "a.1.1 ");
    scheduler.release("a.1.1", Start + Millis(300));
    scheduler.submit(makeRequest("a.1.2"), Start + Millis(300));
    CHECK(grantedIds(scheduler, Start + Millis(300)) == "a.1.2 ");
    scheduler.submit(makeRequest("a.1.3"), Start + Millis(300));
    scheduler.submit(makeRequest("a.1.4"), Start + Millis(300));
    const auto decisions = scheduler.decide(Start + Millis(300));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].request.requestId == "a.1.4");
    CHECK(decisions[0].reason == "cannot-be-met");
    CHECK(decisions[0].expectedWait == Millis(600));
}

// Guards against a prefill queue that builds up on the engine itself, where neither priority nor fairness applies.
TEST_CASE("prefill work is granted only a bounded time in advance")
{
    EngineScheduler scheduler("engine");
    scheduler.applyReport(makeLoad(0, Start), {}, Start);
    const auto requestTokens = [&scheduler](const std::string &id, std::uint64_t tokens) {
        scheduler.submit({id, "engine", "w", 1, 0, tokens, Millis(400)}, Start);
    };
    requestTokens("a.1.1", 3000);
    requestTokens("a.1.2", 500);
    requestTokens("a.1.3", 2000);
    CHECK(grantedIds(scheduler, Start) == "a.1.1 ");
    CHECK(scheduler.load(Start).queuedTokens == 5500);
    CHECK(grantedIds(scheduler, Start + Millis(201)) == "a.1.2 ");
    scheduler.release("a.1.1", Start + Millis(210));
    scheduler.release("a.1.2", Start + Millis(220));
    CHECK(grantedIds(scheduler, Start + Millis(220)) == "a.1.3 ");
}
