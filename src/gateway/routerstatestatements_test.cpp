#include "peerreport.h"
#include "routerstate.h"

#include "cyclamencross/gateway/backendresponsehead.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr std::int64_t Born = 1796400000000;

BackendServer makeServer(const char *id, std::int64_t born = Born, const char *address = "10.0.1.1:1")
{
    return BackendServer{id, "s", address, "z", false, EngineStage::None, 4, born};
}

BackendResponseHead leavingHead()
{
    BackendResponseHead head;
    head.leaving = true;
    return head;
}

BackendResponseHead pauseHead(Millis pause)
{
    BackendResponseHead head;
    head.notExecuted = true;
    head.pause = pause;
    return head;
}

// A router whose store has the given backend servers.
struct TestState
{
    TestState(const char *name, const std::vector<BackendServer> &servers)
        : state(context.get_executor(), named(name), 1)
    {
        for (const BackendServer &server : servers) {
            this->state.backends.put(server.id, server, 1);
        }
        this->state.regroup();
    }

    static RouterSettings named(const char *name)
    {
        RouterSettings settings;
        settings.name = name;
        return settings;
    }

    std::size_t candidateCount(TimePoint now) const
    {
        return this->state.candidates("s", EngineStage::None, {}, "z", now).size();
    }

    boost::asio::io_context context;
    RouterState state;
};

}

TEST_CASE("What a server says to one router reaches its peers: a leaving one gets nothing, a paused one less")
{
    // Guards against a server that must tell each router for itself that it leaves, and against a pause of one router
    // that takes the work of all from a server.
    const TimePoint now = Clock::now();
    const std::vector<BackendServer> servers{makeServer("a"), makeServer("b"), makeServer("c")};
    TestState sender("r0", servers);
    TestState receiver("r1", servers);
    sender.state.takeReport(now);
    sender.state.recordStatements(servers[0], leavingHead(), false, now);
    sender.state.recordStatements(servers[1], pauseHead(Millis(5000)), false, now);
    CHECK(sender.candidateCount(now) == 1);
    const auto report = sender.state.takeReport(now + Millis(100));
    REQUIRE(report);
    CHECK(report->statements.at("a") == StatementNews{"10.0.1.1:1", Born, Millis(100), Millis(0)});
    CHECK(report->statements.at("b") == StatementNews{"10.0.1.1:1", Born, Millis(-1), Millis(4900)});
    receiver.state.applyReport(*report, now + Millis(100));
    const auto candidates = receiver.state.candidates("s", EngineStage::None, {}, "z", now + Millis(100));
    REQUIRE(candidates.size() == 2);
    CHECK(candidates[0].isPausedForPeer);
    CHECK_FALSE(candidates[1].isPausedForPeer);
    CHECK(receiver.state.statements.find("a")->leavingSource == StatementSource::Peer);
    // What a peer has told is not told again, and the sender repeats it for a short time only.
    CHECK(receiver.state.takeReport(now + Millis(100))->statements.empty());
    CHECK(sender.state.takeReport(now + Millis(300))->statements.size() == 2);
    CHECK(sender.state.takeReport(now + Millis(900))->statements.empty());
    CHECK_FALSE(receiver.state.candidates("s", EngineStage::None, {}, "z", now + Millis(5000))[0].isPausedForPeer);
}

TEST_CASE("A peer's news of another incarnation or of unlikely age does not silence a server")
{
    // Guards against a sound server that gets no work because of late or damaged news.
    const TimePoint now = Clock::now();
    struct Case
    {
        std::int64_t registered; ///< Start time in this router's registration.
        StatementNews news;
        bool isApplied;
    };
    const char *same = "10.0.1.1:1";
    const char *other = "10.0.1.2:1";
    const Case example = GENERATE_COPY(values<Case>({
        {Born, {same, Born, Millis(50), Millis(0)}, true},
        {Born, {same, Born + 1, Millis(50), Millis(0)}, true}, // A restart that this router has not read yet.
        {Born, {same, Born - 1, Millis(50), Millis(0)}, false},
        {Born, {same, Born, Millis(-1), Millis(0)}, false},
        {Born, {same, Born, Millis(61000), Millis(0)}, false},
        {0, {same, 0, Millis(50), Millis(0)}, true},
        {0, {same, 0, Millis(2500), Millis(0)}, false},
        {0, {other, 0, Millis(50), Millis(0)}, false},
        {Born, {other, 0, Millis(50), Millis(0)}, false},
    }));
    TestState receiver("r1", {makeServer("a", example.registered)});
    PeerReport report;
    report.router = "r0";
    report.sequence = 1;
    report.statements["a"] = example.news;
    receiver.state.applyReport(report, now);
    CHECK(receiver.state.statements.isLeaving("a") == example.isApplied);
    CHECK(receiver.candidateCount(now) == (example.isApplied ? 0 : 1));
}

TEST_CASE("A report has the statements of a bounded number of servers")
{
    const TimePoint now = Clock::now();
    TestState sender("r0", {});
    for (int i = 0; i < 500; ++i) {
        BackendServer server = makeServer("a");
        server.id += std::to_string(i);
        sender.state.recordStatements(server, leavingHead(), false, now);
    }
    const auto report = sender.state.takeReport(now);
    CHECK(report->statements.size() == 32);
    CHECK(encodePeerReport(*report).size() < 4000);
}

TEST_CASE("A server that leaves and answers in place of another one is found by its address")
{
    // Guards against a statement that is held against the server that has left the address, while the one that made it
    // goes on getting requests.
    const TimePoint now = Clock::now();
    TestState router("r0", {makeServer("old"), makeServer("new"), makeServer("far", Born, "10.0.1.9:1")});
    BackendResponseHead head = leavingHead();
    head.wrongBackend = true;
    router.state.recordStatements(makeServer("old"), head, false, now);
    CHECK(router.state.statements.isLeaving("old"));
    CHECK(router.state.statements.isLeaving("new"));
    CHECK_FALSE(router.state.statements.isLeaving("far"));
    CHECK(router.state.takeReport(now)->statements.empty());
}

TEST_CASE("A late answer to another request makes no pause; one of an earlier incarnation says nothing")
{
    const TimePoint now = Clock::now();
    TestState router("r0", {makeServer("a")});
    router.state.recordStatements(makeServer("a"), pauseHead(Millis(5000)), true, now);
    CHECK(router.candidateCount(now) == 1);
    router.state.recordStatements(makeServer("a", Born - 1), leavingHead(), false, now);
    router.state.recordStatements(makeServer("a", Born - 1), pauseHead(Millis(5000)), false, now);
    CHECK(router.candidateCount(now) == 1);
    router.state.recordStatements(makeServer("a", 0, "10.0.1.9:1"), leavingHead(), false, now);
    CHECK(router.candidateCount(now) == 1);
    router.state.recordStatements(makeServer("a"), leavingHead(), true, now);
    CHECK(router.candidateCount(now) == 0);
}

TEST_CASE("A service is silent until the first pause ends, unless a server can take the request")
{
    // Guards against callers that wait for nothing, and against refusals while a server only lacks room.
    const TimePoint now = Clock::now();
    TestState router("r0", {makeServer("a"), makeServer("b"), makeServer("c")});
    const auto silentUntil = [&](const std::set<std::string> &excluded, TimePoint at) {
        return router.state.silentUntil("s", EngineStage::None, false, excluded, at);
    };
    CHECK_FALSE(silentUntil({}, now).has_value());
    CHECK_FALSE(silentUntil({"a", "b", "c"}, now).has_value()); // They are excluded for other reasons.
    router.state.recordStatements(makeServer("a"), pauseHead(Millis(5000)), false, now);
    router.state.recordStatements(makeServer("b"), leavingHead(), false, now);
    CHECK_FALSE(silentUntil({}, now).has_value());
    CHECK(silentUntil({"c"}, now) == std::optional<TimePoint>(now + Millis(5000)));
    CHECK(silentUntil({"a", "c"}, now) == std::optional<TimePoint>(TimePoint::max()));
    router.state.recordStatements(makeServer("c"), pauseHead(Millis(2000)), false, now);
    CHECK(silentUntil({}, now) == std::optional<TimePoint>(now + Millis(2000)));
    CHECK_FALSE(silentUntil({}, now + Millis(2000)).has_value());
    router.state.recordStatements(makeServer("a"), leavingHead(), false, now);
    router.state.recordStatements(makeServer("c"), leavingHead(), false, now);
    CHECK(silentUntil({}, now) == std::optional<TimePoint>(TimePoint::max()));
}

TEST_CASE("While a registration is gone, its limit is kept, and no router takes the right to a request")
{
    // Guards against a server that gets what all routers have gathered in the gap, and, if several groups share it,
    // what each of them has taken for its own.
    const TimePoint start = Clock::now();
    TestState router("r0", {makeServer("a")});
    router.state.members.put("r0", RouterMember{"r0", 1, "z", "10.0.0.1:1", "10.0.0.1:2"}, 1);
    router.state.regroup();
    router.state.recordNamedLimit("a", 100, start);
    auto runUntil = [&router, start, now = start](Millis end) mutable {
        for (; now <= start + end; now += Millis(100)) {
            router.state.expireStatements(now);
            router.state.namedLimits->advance(now, Born + std::chrono::duration_cast<Millis>(now - start).count());
        }
    };
    runUntil(Millis(1000));
    CHECK(router.state.namedLimits->mayRequest("a"));
    router.state.backends.remove("a", 2, std::nullopt);
    runUntil(Millis(8000));
    CHECK(router.state.namedLimits->count() == 1);
    CHECK_FALSE(router.state.namedLimits->mayRequest("a"));
    SECTION("It returns")
    {
        router.state.backends.put("a", makeServer("a"), 3);
        CHECK_FALSE(router.state.namedLimits->mayRequest("a"));
        runUntil(Millis(9000));
        CHECK(router.state.namedLimits->mayRequest("a"));
        CHECK(router.state.namedLimits->count() == 1);
    }
    SECTION("It does not return")
    {
        router.state.expireStatements(start + Millis(8000) + BackendStatements::GoneLifetime);
        CHECK(router.state.namedLimits->count() == 0);
    }
}
