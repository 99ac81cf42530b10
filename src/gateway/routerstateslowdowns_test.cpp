#include "peerreport.h"
#include "routerstate.h"

#include "cyclamencross/gateway/backendresponsehead.h"

#include <memory>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

BackendServer makeServer(const std::string &id)
{
    return BackendServer{id, "s", "10.0.1.1:1", "z", false, EngineStage::None, 4, 0};
}

std::unique_ptr<RouterState> makeState(boost::asio::io_context &context, const std::string &name)
{
    RouterSettings settings;
    settings.name = name;
    auto state = std::make_unique<RouterState>(context.get_executor(), settings, 1);
    for (char id = 'a'; id < 'm'; ++id) {
        state->backends.put(std::string(1, id), makeServer(std::string(1, id)), 1);
    }
    state->regroup();
    return state;
}

BackendResponseHead telling(double factor)
{
    BackendResponseHead head;
    head.slowdown = factor;
    return head;
}

Slowdown toldBy(const RouterState &state, const std::string &id, TimePoint now)
{
    for (const PlacementCandidate &candidate : state.candidates("s", EngineStage::None, {}, "z", now)) {
        if (candidate.server.id == id) {
            return candidate.toldSlowdown;
        }
    }
    return Slowdown();
}

}

TEST_CASE("The pace that a server tells one router reaches its peers with its age")
{
    // Guards against a router that learns only from its own answers, of which it gets few from each server.
    boost::asio::io_context context;
    const auto sender = makeState(context, "r0");
    const auto receiver = makeState(context, "r1");
    const TimePoint start = Clock::now();
    sender->recordStatements(makeServer("a"), telling(2.5), false, start);
    const TimePoint sent = start + Millis(80);
    const auto report = sender->takeReport(sent);
    REQUIRE(report);
    CHECK(report->slowdowns.at("a") == ToldSlowdown{2.5, Millis(80)});
    PeerReport decoded;
    REQUIRE(decodePeerReport(encodePeerReport(*report), decoded));
    CHECK(decoded == *report);
    receiver->applyReport(decoded, sent);
    CHECK(toldBy(*receiver, "a", sent).age == Millis(80));
    CHECK(toldBy(*receiver, "a", sent).factor == toldBy(*sender, "a", sent).factor);
    CHECK(toldBy(*receiver, "a", sent).isFromPeer);
    CHECK_FALSE(toldBy(*sender, "a", sent).isFromPeer);
    CHECK(sender->takeReport(sent + Millis(600))->slowdowns.empty());
}

TEST_CASE("Figures of late answers, of other servers or without news are not reported; reports have few figures")
{
    // Guards against figures of another machine, and against reports that grow with the number of servers.
    boost::asio::io_context context;
    const auto state = makeState(context, "r0");
    const TimePoint now = Clock::now();
    state->recordStatements(makeServer("a"), telling(2.5), true, now);
    BackendResponseHead wrong = telling(2.5);
    wrong.wrongBackend = true;
    state->recordStatements(makeServer("b"), wrong, false, now);
    state->recordStatements(makeServer("c"), telling(1.1), false, now);
    state->recordStatements(makeServer("d"), BackendResponseHead(), false, now);
    CHECK(toldBy(*state, "a", now) == Slowdown());
    CHECK(toldBy(*state, "b", now) == Slowdown());
    CHECK(toldBy(*state, "c", now).age == Millis(0));
    CHECK(toldBy(*state, "d", now) == Slowdown());
    CHECK(state->takeReport(now)->slowdowns.empty());
    for (char id = 'a'; id < 'm'; ++id) {
        state->recordStatements(makeServer(std::string(1, id)), telling(3), false, now + Millis(100 + id));
    }
    CHECK(state->takeReport(now + Millis(700))->slowdowns.size() == 4);
}

TEST_CASE("Figures of peers that are old, from the future, of unknown servers or too many change nothing")
{
    // Guards against a frozen or faulty peer whose figures steer the whole group.
    boost::asio::io_context context;
    const auto state = makeState(context, "r0");
    const TimePoint now = Clock::now();
    PeerReport report;
    report.router = "r1";
    const auto apply = [&](const std::map<std::string, ToldSlowdown> &told) {
        ++report.sequence;
        report.slowdowns = told;
        state->applyReport(report, now);
    };
    apply({{"a", {2.5, Millis(5000)}}});
    apply({{"a", {2.5, Millis(-10)}}});
    apply({{"unknown", {2.5, Millis(0)}}});
    std::map<std::string, ToldSlowdown> many;
    for (char id = 'a'; id < 'm'; ++id) {
        many[std::string(1, id)] = ToldSlowdown{2.5, Millis(0)};
    }
    apply(many);
    CHECK(toldBy(*state, "a", now) == Slowdown());
    CHECK(state->slowdowns.find("unknown", now) == Slowdown());
    apply({{"a", {2.5, Millis(10)}}});
    CHECK(toldBy(*state, "a", now).factor > 1);
}
