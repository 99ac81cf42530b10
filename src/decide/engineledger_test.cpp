#include "cyclamencross/decide/engineledger.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

const TimePoint Start{Millis(100000)};

EngineLoad makeLoad(std::uint32_t slots, TimePoint known, std::uint64_t queued = 0)
{
    return {"engine", slots, 0, queued, 10000, known};
}

SlotAsk makeAsk(const std::string &id, const std::string &workspace = "w", std::uint8_t priority = 1,
                Millis maxWait = Millis(400))
{
    return {id, "engine", workspace, priority, 1, 0, maxWait};
}

std::string grantedIds(EngineLedger &ledger, TimePoint now)
{
    std::string ids;
    for (const auto &decision : ledger.decide(now)) {
        ids += decision.grant ? decision.ask.requestId + " " : "";
    }
    return ids;
}

}

// Guards against an owner that grants from what it remembers after it was frozen, or before it has read the engine.
TEST_CASE("nothing is granted without a fresh report")
{
    EngineLedger ledger("engine");
    ledger.ask(makeAsk("a.1.1"), Start);
    CHECK(grantedIds(ledger, Start).empty());
    ledger.report(makeLoad(2, Start + Millis(5)), {"b.2.1"}, Start + Millis(6));
    CHECK(grantedIds(ledger, Start + Millis(6)) == "a.1.1 ");
    CHECK(ledger.load(Start + Millis(6)).held == 2);

    const TimePoint woken = Start + Millis(10000);
    ledger.ask(makeAsk("a.1.2"), woken);
    CHECK(grantedIds(ledger, woken).empty());
    ledger.reportLoad(makeLoad(2, woken + Millis(1)), woken + Millis(1));
    CHECK(grantedIds(ledger, woken + Millis(1)).empty());
    ledger.report(makeLoad(2, woken + Millis(2)), {"c.3.1", "c.3.2"}, woken + Millis(2));
    CHECK(grantedIds(ledger, woken + Millis(2)).empty());
    CHECK(ledger.decide(woken + Millis(401)).at(0).reason == "wait-over");
    ledger.ask(makeAsk("a.1.3"), woken + Millis(3000));
    const auto refused = ledger.decide(woken + Millis(3000) + EngineLedger::ReportWait + Millis(1));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].reason == "no-fresh-report");
}

// Guards against prefills wasted on a decode engine that has just died, and against its old report being trusted when
// it is back.
TEST_CASE("an unreachable engine gets nothing until it has been read anew")
{
    EngineLedger ledger("engine");
    ledger.report(makeLoad(2, Start), {}, Start);
    ledger.setUnreachable();
    ledger.ask(makeAsk("a.1.1"), Start + Millis(10));
    CHECK(grantedIds(ledger, Start + Millis(10)).empty());
    ledger.reportLoad(makeLoad(2, Start + Millis(20)), Start + Millis(20));
    CHECK(grantedIds(ledger, Start + Millis(20)).empty());
    ledger.report(makeLoad(2, Start + Millis(30)), {"b.1.1"}, Start + Millis(30));
    CHECK(grantedIds(ledger, Start + Millis(30)) == "a.1.1 ");
}

// Guards against a late copy of an ask that takes a slot which nobody releases, and against a late release of an
// earlier ask that frees the slot of a later one.
TEST_CASE("asks and releases are told apart by their number")
{
    EngineLedger ledger("engine");
    ledger.report(makeLoad(1, Start), {}, Start);
    SlotAsk ask = makeAsk("a.1.1");
    ask.number = 1;
    ledger.release(ask.requestId, Start, 1);
    ledger.ask(ask, Start);
    CHECK(grantedIds(ledger, Start).empty());
    ask.number = 2;
    ledger.ask(ask, Start);
    CHECK(grantedIds(ledger, Start) == "a.1.1 ");
    ledger.release(ask.requestId, Start, 1);
    CHECK(ledger.load(Start).held == 1);
    ledger.release(ask.requestId, Start, 2);
    ledger.release(ask.requestId, Start, 2);
    CHECK(ledger.load(Start).held == 0);
}

// Guards against one workspace that fills an engine while others wait, and against urgent requests behind slow ones.
TEST_CASE("room goes by priority, then fairly among workspaces")
{
    EngineLedger ledger("engine");
    ledger.report(makeLoad(1, Start), {"x.9.1"}, Start);
    for (int i = 0; i < 3; ++i) {
        ledger.ask(makeAsk("a.1." + std::to_string(i), "greedy"), Start);
    }
    ledger.ask(makeAsk("b.1.1", "modest"), Start + Millis(1));
    ledger.ask(makeAsk("c.1.1", "late", 0), Start + Millis(2));
    ledger.ask(makeAsk("d.1.1", "patient", 2), Start + Millis(3));
    std::string order;
    std::string last = "x.9.1";
    for (int i = 0; i < 6; ++i) {
        ledger.release(last, Start + Millis(5));
        last = grantedIds(ledger, Start + Millis(5));
        order += last;
        last.resize(last.size() - 1);
    }
    CHECK(order == "c.1.1 a.1.0 b.1.1 a.1.1 a.1.2 d.1.1 ");
}

// Guards against waiting in vain: the asker needs the time to try another engine.
TEST_CASE("a wait that cannot be met is refused at once")
{
    EngineLedger ledger("engine");
    ledger.report(makeLoad(1, Start), {}, Start);
    ledger.ask(makeAsk("a.1.1"), Start);
    CHECK(grantedIds(ledger, Start) == "a.1.1 ");
    ledger.release("a.1.1", Start + Millis(300));
    ledger.ask(makeAsk("a.1.2"), Start + Millis(300));
    CHECK(grantedIds(ledger, Start + Millis(300)) == "a.1.2 ");
    ledger.ask(makeAsk("a.1.3"), Start + Millis(300));
    ledger.ask(makeAsk("a.1.4"), Start + Millis(300));
    const auto decisions = ledger.decide(Start + Millis(300));
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].ask.requestId == "a.1.4");
    CHECK(decisions[0].reason == "cannot-be-met");
    CHECK(decisions[0].expectedWait == Millis(600));
}

// Guards against a prefill queue on the engine itself, where neither priority nor fairness applies.
TEST_CASE("prefill work is granted only a little ahead")
{
    EngineLedger ledger("engine");
    ledger.report(makeLoad(0, Start), {}, Start);
    const auto askTokens = [&ledger](const std::string &id, std::uint64_t tokens) {
        ledger.ask({id, "engine", "w", 1, 0, tokens, Millis(400)}, Start);
    };
    askTokens("a.1.1", 3000);
    askTokens("a.1.2", 500);
    askTokens("a.1.3", 2000);
    CHECK(grantedIds(ledger, Start) == "a.1.1 ");
    CHECK(ledger.load(Start).queuedTokens == 5500);
    CHECK(grantedIds(ledger, Start + Millis(201)) == "a.1.2 ");
    ledger.release("a.1.1", Start + Millis(210));
    ledger.release("a.1.2", Start + Millis(220));
    CHECK(grantedIds(ledger, Start + Millis(220)) == "a.1.3 ");
}
