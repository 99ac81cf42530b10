#include "peerreport.h"
#include "routerstate.h"
#include "workreservation.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

std::string numbered(std::string name, int number)
{
    name += std::to_string(number);
    return name;
}

RouterSettings named(const std::string &name)
{
    RouterSettings settings;
    settings.name = name;
    return settings;
}

// Registers 40 routers, which form two groups.
void addRouters(RouterState &state)
{
    for (int i = 0; i < 40; ++i) {
        const std::string name = numbered("r", i);
        state.members.put(name, RouterMember{name, 1, "z", "10.0.0.1:1", "10.0.0.1:2"}, 1);
    }
}

}

TEST_CASE("An older report of a peer does not replace a newer one")
{
    // Guards against datagrams that arrive out of order and against those of an earlier incarnation of the peer.
    boost::asio::io_context context;
    RouterState state(context.get_executor(), named("r0"), 1);
    PeerReport report;
    report.router = "r1";
    report.incarnation = 2;
    report.sequence = 5;
    report.work["e"] = BackendWork{1, 0, {}};
    state.applyReport(report, Clock::now());
    report.sequence = 4;
    report.work["e"] = BackendWork{9, 0, {}};
    state.applyReport(report, Clock::now());
    CHECK(state.work->total("e").requests == 1);
    report.incarnation = 1;
    report.sequence = 50;
    state.applyReport(report, Clock::now());
    CHECK(state.work->total("e").requests == 1);
    report.incarnation = 3;
    report.sequence = 1;
    state.applyReport(report, Clock::now());
    CHECK(state.work->total("e").requests == 9);
}

TEST_CASE("Reports of a router that was restarted with an earlier time of day are used")
{
    // Guards against peers that ignore a router, as watcher and in the sums of work, until its time of day has passed
    // that of its former start: incarnations begin with the time of day.
    boost::asio::io_context context;
    RouterState state(context.get_executor(), named("r0"), 1);
    const auto registerAs = [&state](std::uint64_t incarnation, std::uint64_t revision) {
        state.members.put("r1", RouterMember{"r1", incarnation, "z", "10.0.0.1:1", "10.0.0.1:2"}, revision);
    };
    const auto report = [&state](std::uint64_t incarnation, std::uint64_t sequence, std::int64_t requests) {
        PeerReport sent;
        sent.router = "r1";
        sent.incarnation = incarnation;
        sent.sequence = sequence;
        sent.work["e"] = BackendWork{requests, 0, {}};
        state.applyReport(sent, Clock::now());
        return state.work->total("e").requests;
    };
    registerAs(9, 1);
    CHECK(report(9, 5, 1) == 1);
    registerAs(4, 2);
    CHECK(report(4, 1, 7) == 7);
    CHECK(report(9, 6, 1) == 7); // Late, from the process before.
    CHECK(report(4, 2, 8) == 8);
    CHECK(report(4, 1, 7) == 8);
}

TEST_CASE("Each engine belongs to one group of routers; too few backend servers are shared by all")
{
    boost::asio::io_context context;
    std::map<std::string, int> owners;
    int shared = 0;
    for (int self = 0; self < 40; ++self) {
        RouterState state(context.get_executor(), named(numbered("r", self)), 1);
        addRouters(state);
        for (int i = 0; i < 30; ++i) {
            const std::string id = numbered("e", i);
            state.backends.put(id, BackendServer{id, "big", "10.0.1.1:1", "z", false, EngineStage::Decode, 4, 0}, 1);
        }
        state.backends.put("p", BackendServer{"p", "small", "10.0.1.2:1", "z", false, EngineStage::None, 4, 0}, 1);
        state.regroup();
        for (const auto &candidate : state.candidates("big", EngineStage::Decode, {}, "z", Clock::now())) {
            ++owners[candidate.server.id];
        }
        shared += int(state.candidates("small", EngineStage::None, {}, "z", Clock::now()).size());
        CHECK(state.sampleOtherGroups("big", EngineStage::Decode, {}, Clock::now()).size() == 3);
        CHECK(state.groupPeers().size() == 19);
    }
    CHECK(shared == 40);
    CHECK(owners.size() == 30);
    for (const auto &[id, count] : owners) {
        CHECK(count == 20);
    }
}

TEST_CASE("Three routers of each group watch the store for the others")
{
    boost::asio::io_context context;
    int watchers = 0;
    int first = 0;
    for (int self = 0; self < 40; ++self) {
        RouterState state(context.get_executor(), named(numbered("r", self)), 1);
        CHECK(state.isDesignatedWatcher());
        addRouters(state);
        state.regroup();
        watchers += state.isDesignatedWatcher() ? 1 : 0;
        first += state.isPrimaryWatcher() ? 1 : 0;
    }
    CHECK(watchers == 6);
    CHECK(first == 2);
}

TEST_CASE("A router whose registration has lapsed gets reports for a while")
{
    // Guards against a router that the store rejects and that learns nothing from its peers any more (review case 5).
    boost::asio::io_context context;
    RouterState state(context.get_executor(), named("r0"), 1);
    state.members.put("r0", RouterMember{"r0", 1, "z", "10.0.0.1:1", "10.0.0.1:2"}, 1);
    const RouterMember peer{"r1", 1, "z", "10.0.0.2:1", "10.0.0.2:2"};
    state.members.put("r1", peer, 2);
    state.regroup();
    CHECK(state.lapsedPeers(Clock::now()).empty());
    state.members.remove("r1", 3, std::nullopt);
    state.regroup();
    CHECK(state.groupPeers().empty());
    CHECK(state.lapsedPeers(Clock::now() + std::chrono::seconds(10)) == std::vector<RouterMember>{peer});
    CHECK(state.lapsedPeers(Clock::now() + std::chrono::seconds(60)).empty());
    state.members.put("r1", peer, 4);
    state.regroup();
    CHECK(state.groupPeers() == std::vector<RouterMember>{peer});
}

TEST_CASE("A peer counts as a live watcher only while it reports that it watches")
{
    // Guards against a group that receives no changes because its watchers have lost the store.
    boost::asio::io_context context;
    RouterState state(context.get_executor(), named("r0"), 1);
    const TimePoint now = Clock::now();
    PeerReport report;
    report.router = "r1";
    report.sequence = 1;
    state.applyReport(report, now);
    CHECK_FALSE(state.hasLiveWatcher(now));
    report.sequence = 2;
    report.watching = true;
    state.applyReport(report, now);
    CHECK(state.hasLiveWatcher(now));
    CHECK_FALSE(state.hasLiveWatcher(now + std::chrono::seconds(2)));
}

namespace
{

// A router on a clock that the test sets. The clock of each host starts at another time.
struct ClockedRouter
{
    ClockedRouter(boost::asio::io_context &context, const std::string &name, const TimePoint &time, Millis clockStart)
        : state(context.get_executor(), named(name), 1, makeEnvironment(time, clockStart))
    {
        for (const char *router : {"r1", "r2"}) {
            this->state.members.put(router, RouterMember{router, 1, "z", "10.0.0.1:1", "10.0.0.1:2"}, 1);
        }
        this->state.regroup();
    }

    static RouterEnvironment makeEnvironment(const TimePoint &time, Millis clockStart)
    {
        RouterEnvironment environment;
        environment.now = [&time] { return time; };
        environment.bootTime = [&time, clockStart] { return time.time_since_epoch() + clockStart; };
        return environment;
    }

    /// Returns a report as it is sent to @p receiver.
    std::optional<PeerReport> takeReportFor(const ClockedRouter &receiver)
    {
        auto report = this->state.takeReport(this->state.environment.now());
        if (report) {
            report->clockOffset = this->state.clockOffset(*this->state.members.find(receiver.state.settings.name));
        }
        return report;
    }

    RouterState state;
};

}

TEST_CASE("Certainty of the store's changes does not become younger as it passes between routers")
{
    // Guards against routers that vouch for each other and read nothing, though none of them has had an answer.
    boost::asio::io_context context;
    constexpr Millis Transit(30);
    constexpr Millis Period(100);
    const TimePoint answer = Clock::now();
    TimePoint now = answer;
    ClockedRouter first(context, "r1", now, Millis(0));
    ClockedRouter second(context, "r2", now, std::chrono::hours(5));
    first.state.confirmChanges(answer);
    while (now < answer + std::chrono::seconds(5)) {
        for (const auto &[sender, receiver] : {std::pair(&first, &second), std::pair(&second, &first)}) {
            if (auto report = sender->takeReportFor(*receiver)) {
                now += Transit;
                receiver->state.applyReport(*report, now);
            }
        }
        now += Period;
    }
    CHECK(first.state.freshness.confirmedAt() == answer);
    REQUIRE(second.state.freshness.confirmedAt());
    CHECK(*second.state.freshness.confirmedAt() <= answer);
    CHECK(*second.state.freshness.confirmedAt() >= answer - Transit - Millis(5));
}

TEST_CASE("A report that was under way for long does not make its receiver certain of later changes")
{
    // Guards against a router that reads seconds-old reports from its queue after a pause and takes them for new.
    boost::asio::io_context context;
    TimePoint now = Clock::now();
    ClockedRouter watcher(context, "r1", now, Millis(0));
    ClockedRouter follower(context, "r2", now, std::chrono::hours(5));
    const auto send = [&now](ClockedRouter &sender, ClockedRouter &receiver, Millis delay) {
        sender.state.confirmChanges(now);
        const auto report = sender.takeReportFor(receiver);
        REQUIRE(report);
        now += delay;
        receiver.state.applyReport(*report, now);
    };
    const Millis usualDelay = GENERATE(Millis(1), Millis(300));
    for (int i = 0; i < 3; ++i) {
        send(follower, watcher, usualDelay);
        send(watcher, follower, usualDelay);
    }
    now += std::chrono::seconds(1);
    const Millis longDelay = GENERATE(Millis(700), Millis(3000));
    send(watcher, follower, longDelay);
    REQUIRE(follower.state.certaintyAge());
    CHECK(*follower.state.certaintyAge() >= longDelay);
    CHECK(*follower.state.certaintyAge() <= longDelay + usualDelay + Millis(5));
}

TEST_CASE("A version counts as the only one only while this router is certain of the latest changes")
{
    // Guards against streams that go on at the wrong version at a router which is cut off, or was suspended, while
    // another version came.
    boost::asio::io_context context;
    const TimePoint start = Clock::now();
    TimePoint now = start;
    Clock::duration suspended{0};
    RouterEnvironment environment;
    environment.now = [&now] { return now; };
    environment.bootTime = [&now, &suspended] { return now.time_since_epoch() + suspended; };
    RouterState state(context.get_executor(), named("r1"), 1, environment);
    state.serviceVersions = ServiceVersions({{"s", {{"v1", ServiceVersions::State::Open}}}});
    CHECK_FALSE(state.onlyVersion("s"));
    state.confirmChanges(start);
    CHECK(state.onlyVersion("s") == std::optional<std::string>("v1"));
    CHECK_FALSE(state.onlyVersion("t"));
    SECTION("It is cut off")
    {
        now += VersionPlanner::TrustAge + Millis(1);
        CHECK_FALSE(state.onlyVersion("s"));
    }
    SECTION("It was suspended, which the steady clock does not count")
    {
        suspended = VersionPlanner::TrustAge + Millis(1);
        CHECK_FALSE(state.onlyVersion("s"));
    }
    SECTION("A backend server has a version that is not recorded yet")
    {
        state.registeredVersions["s"] = {"v1", "v2"};
        CHECK_FALSE(state.onlyVersion("s"));
    }
    SECTION("Several versions are recorded")
    {
        state.serviceVersions = state.serviceVersions.with("s", "v2", ServiceVersions::State::Announced);
        CHECK_FALSE(state.onlyVersion("s"));
    }
}

TEST_CASE("Routers tell their peers at which version streams began while there are several")
{
    boost::asio::io_context context;
    RouterState first(context.get_executor(), named("r1"), 1);
    RouterState second(context.get_executor(), named("r2"), 1);
    const TimePoint now = Clock::now();
    first.streamOrigins.begin("s", 1, "v1", Millis(5000), now);
    CHECK(first.takeReport(now)->streamOrigins.empty());
    first.serviceVersions =
        ServiceVersions({{"s", {{"v1", ServiceVersions::State::Open}, {"v2", ServiceVersions::State::Announced}}}});
    const auto report = first.takeReport(now + Millis(600));
    REQUIRE(report);
    PeerReport received;
    REQUIRE(decodePeerReport(encodePeerReport(*report), received));
    CHECK(received == *report);
    second.applyReport(received, now);
    REQUIRE(second.streamOrigins.find(1) != nullptr);
    CHECK(*second.streamOrigins.find(1) == "v1");
}

TEST_CASE("Changes that are reported together have no gap between them")
{
    // Guards against peers that count changes as known although no report contained them.
    boost::asio::io_context context;
    RouterState state(context.get_executor(), RouterSettings(), 1);
    const StoreItem first{"servers/a", "x", 12, false};
    const StoreItem second{"servers/b", "x", 14, false};
    const StoreItem third{"servers/c", "x", 31, false};
    state.queueChangesForPeers(StoreChanges{10, 12, false, {first}});
    state.queueChangesForPeers(StoreChanges{12, 14, false, {second}});
    CHECK(state.takeReport(Clock::now())->changes == StoreChanges{10, 14, false, {first, second}});
    state.queueChangesForPeers(StoreChanges{10, 12, false, {first}});
    state.queueChangesForPeers(StoreChanges{30, 31, true, {third}});
    CHECK(state.takeReport(Clock::now())->changes == StoreChanges{30, 31, true, {third}});
}

TEST_CASE("Versions of an item that were replaced before they were reported are not sent to peers")
{
    // Guards against reports that grow with the number of versions that were written, and not with what they change.
    boost::asio::io_context context;
    RouterState state(context.get_executor(), RouterSettings(), 1);
    const StoreItem backend{"servers/a", "x", 12, false};
    state.queueChangesForPeers(
        StoreChanges{10, 13, false, {{"op/config", "1", 11, false}, backend, {"op/config", "2", 13, false}}});
    state.queueChangesForPeers(StoreChanges{13, 14, false, {{"op/config", "3", 14, false}}});
    CHECK(state.takeReport(Clock::now())->changes
          == StoreChanges{10, 14, false, {backend, {"op/config", "3", 14, false}}});
}

TEST_CASE("A storm of configurations leaves half of a slow link free")
{
    // Guards against a watcher whose reports to its peers hold up its own calls to the store (day st-roll on site
    // mostaza-cuyo-grown: routers sent 2 MB a second to their peers over links of 10 Mbit/s, and lost the store).
    constexpr int Peers = 31;
    constexpr int Versions = 25;
    constexpr Millis VersionPeriod(400);
    constexpr double HalfOfLinkBytesPerSecond = 10e6 / 8 / 2;
    boost::asio::io_context context;
    RouterState state(context.get_executor(), RouterSettings(), 1);
    std::mt19937_64 random(1);
    const auto configuration = [&random] {
        std::string routes;
        for (int i = 0; i < 60; ++i) {
            routes += R"({"Name":"r-)" + std::to_string(random()) + R"(","Host":"wuny96.example","PathPrefix":"/)"
                + std::to_string(random()) + R"(/","Service":"dele69a","Kind":"idempotent","TimeoutMs":14000,)"
                + R"("TargetLatencyMs":800,"MaxAttempts":2,"Priority":1,"StickySessions":true,"AllowResume":true},)";
        }
        return routes;
    };
    const TimePoint start = Clock::now();
    const TimePoint end = start + Versions * VersionPeriod;
    std::size_t sent = 0;
    int written = 0;
    for (TimePoint now = start; now < end; now += Millis(100)) {
        if (now >= start + written * VersionPeriod) {
            const std::uint64_t revision = 10 + std::uint64_t(written++);
            state.queueChangesForPeers(
                StoreChanges{revision, revision + 1, false, {{"op/config", configuration(), revision + 1, false}}});
        }
        if (const auto report = state.takeReport(now)) {
            sent += encodePeerReport(*report).size() * Peers;
        }
    }
    CHECK(double(sent) <= HalfOfLinkBytesPerSecond * toSeconds(end - start));
}

TEST_CASE("The load of an engine that several groups share is multiplied by the number of groups")
{
    // Guards against an engine that seems half empty to each of two groups and refuses one reservation after the other
    // (site ikiyaga-dew, day scale-1: some hundred refused reservations a second).
    boost::asio::io_context context;
    RouterState state(context.get_executor(), named("r0"), 1);
    addRouters(state);
    state.backends.put("e", BackendServer{"e", "s", "10.0.1.1:1", "z", false, EngineStage::Decode, 4, 0}, 1);
    state.regroup();
    state.work->add("e", BackendWork{1, 10, KvCacheForecast::constant(100)});
    const auto candidates = state.candidates("s", EngineStage::Decode, {}, "z", Clock::now());
    REQUIRE(candidates.size() == 1);
    CHECK(candidates.front().work == BackendWork{2, 20, KvCacheForecast::constant(200)});
    CHECK_FALSE(candidates.front().reportedCalls);
}

TEST_CASE("A work reservation may outlive the router state")
{
    // Guards against memory corruption at the end of a process whose grace period ends before its requests (site
    // obrzil, day hunt-19d9-23): the coroutine frames of unfinished requests are destroyed with the event loop, after
    // the state. Needs an address sanitizer to be detected reliably.
    boost::asio::io_context context;
    auto state = std::make_unique<RouterState>(context.get_executor(), RouterSettings(), 1);
    const auto reservation = std::make_unique<WorkReservation>(state->work, "e", BackendWork{1, 0, {}});
    const std::weak_ptr<BackendWorkTracker> tracker = state->work;
    state.reset();
    REQUIRE_FALSE(tracker.expired());
    CHECK(tracker.lock()->total("e").requests == 1);
}

TEST_CASE("The load that a shared backend server reports is sent to peers and expires")
{
    boost::asio::io_context context;
    const TimePoint now = Clock::now();
    const auto makeState = [&context](const std::string &name) {
        auto state = std::make_unique<RouterState>(context.get_executor(), named(name), 1);
        addRouters(*state);
        state->backends.put("p", BackendServer{"p", "s", "10.0.1.1:1", "z", false, EngineStage::None, 4, 0}, 1);
        state->regroup();
        return state;
    };
    const auto first = makeState("r0");
    const auto second = makeState("r1");
    first->recordReportedCalls("p", 9, now);
    const auto report = first->takeReport(now);
    REQUIRE(report);
    PeerReport decoded;
    REQUIRE(decodePeerReport(encodePeerReport(*report), decoded));
    CHECK(decoded == *report);
    second->applyReport(decoded, now);
    const auto calls = [&second](TimePoint at) {
        return second->candidates("s", EngineStage::None, {}, "z", at).front().reportedCalls;
    };
    CHECK(calls(now) == std::optional<std::int64_t>(9));
    CHECK(calls(now + Millis(500)) == std::nullopt);
}

TEST_CASE("Delegates exchange the work of their groups on the engines that all groups share")
{
    // Guards against engines that every group fills as if no other group used them, or leaves empty because it
    // extrapolates its own few requests.
    boost::asio::io_context context;
    std::vector<std::unique_ptr<RouterState>> routers;
    for (int i = 0; i < 40; ++i) {
        auto state = std::make_unique<RouterState>(context.get_executor(), named(numbered("r", i)), 1);
        addRouters(*state);
        state->backends.put("e", BackendServer{"e", "big", "10.0.1.1:1", "z", false, EngineStage::Decode, 4, 0}, 1);
        state->regroup();
        routers.push_back(std::move(state));
    }
    const auto placed = [](const RouterState &state) {
        return state.candidates("big", EngineStage::Decode, {}, "z", Clock::now()).front().work.requests;
    };
    RouterState &worker = *routers.front();
    worker.work->add("e", BackendWork{5, 0, {}});
    const auto inGroupOfWorker = [&worker](const RouterState &state) {
        return std::any_of(worker.groupPeers().begin(), worker.groupPeers().end(),
                           [&state](const RouterMember &peer) { return peer.name == state.settings.name; });
    };
    // Two rounds: the members report to their delegates, then the delegates to each other and to their members.
    for (int round = 0; round < 3; ++round) {
        const TimePoint now = Clock::now() + Millis(600 * round);
        for (const auto &sender : routers) {
            const auto groupReport = sender->takeGroupReport(now);
            const auto report = sender->takeReport(now);
            for (const auto &receiver : routers) {
                const auto isAddressed = [&receiver](const std::vector<RouterMember> &list) {
                    return std::any_of(list.begin(), list.end(), [&receiver](const RouterMember &member) {
                        return member.name == receiver->settings.name;
                    });
                };
                if (groupReport && isAddressed(sender->otherDelegates())) {
                    receiver->applyReport(*groupReport, now);
                }
                if (report && isAddressed(sender->groupPeers())) {
                    receiver->applyReport(*report, now);
                }
            }
        }
    }
    int delegates = 0;
    for (const auto &state : routers) {
        delegates += state->takeGroupReport(Clock::now() + Millis(5000)) ? 1 : 0;
        CHECK(placed(*state) == 5);
        CHECK((inGroupOfWorker(*state) || state.get() == &worker || state->work->total("e").requests == 0));
    }
    CHECK(delegates == 2);
}

TEST_CASE("An engine that is to change its stage gets no requests of its old stage")
{
    // Guards against requests that an engine rejects while it changes its stage.
    boost::asio::io_context context;
    RouterState state(context.get_executor(), named("r0"), 1);
    const BackendServer server{"e", "big", "10.0.1.1:1", "z", false, EngineStage::Prefill, 4, 0};
    state.backends.put("e", server, 1);
    state.regroup();
    CHECK(state.candidates("big", EngineStage::Prefill, {}, "z", Clock::now()).size() == 1);
    state.stagePlan.stages["e"] = EngineStage::Decode;
    CHECK(state.candidates("big", EngineStage::Prefill, {}, "z", Clock::now()).empty());
    CHECK_FALSE(state.isUsable(server, Clock::now()));
    CHECK(state.isRegistered(server));
    BackendServer changed = server;
    changed.stage = EngineStage::Decode;
    state.backends.put("e", changed, 2);
    state.regroup();
    CHECK(state.candidates("big", EngineStage::Decode, {}, "z", Clock::now()).size() == 1);
    CHECK(state.isUsable(changed, Clock::now()));
}

TEST_CASE("Changes that exceed one report are sent in several, without a gap")
{
    // Guards against a read of the store by every router whenever many backend servers change at the same time.
    boost::asio::io_context context;
    RouterState state(context.get_executor(), RouterSettings(), 1);
    StoreChanges all{10, 0, false, {}};
    for (std::uint64_t revision = 11; revision <= 60; ++revision) {
        std::string key = "servers/";
        key += std::to_string(revision);
        all.items.push_back(StoreItem{key, std::string(2000, 'x'), revision, false});
        all.items.push_back(StoreItem{key + "b", std::string(100, 'x'), revision, false});
    }
    all.upTo = 60;
    state.queueChangesForPeers(all);
    StoreRevision next = 10;
    std::size_t items = 0;
    int reports = 0;
    while (next < 60 && reports < 20) {
        const auto report = state.takeReport(Clock::now());
        REQUIRE(report);
        REQUIRE(report->changes.after == next);
        REQUIRE(report->changes.items.back().revision == report->changes.upTo);
        CHECK(encodePeerReport(*report).size() < 60000);
        next = report->changes.upTo;
        items += report->changes.items.size();
        ++reports;
    }
    CHECK(reports == 4);
    CHECK(items == all.items.size());
    SECTION("One change that is too large for a datagram is left to the store")
    {
        std::string incompressible;
        std::mt19937_64 random(1);
        std::generate_n(std::back_inserter(incompressible), 70000, [&random] { return char(random()); });
        const StoreItem large{"op/config", incompressible, 61, false};
        state.queueChangesForPeers(StoreChanges{60, 61, false, {large}});
        CHECK(state.takeReport(Clock::now())->changes == StoreChanges());
    }
}

TEST_CASE("Many changes in a short time lead to few regroupings, the last of which sees all of them")
{
    boost::asio::io_context context;
    RouterState state(context.get_executor(), named("r0"), 1);
    const TimePoint start = Clock::now();
    for (int i = 0; i < 50; ++i) {
        const std::string id = numbered("e", i);
        state.backends.put(id, BackendServer{id, "s", "10.0.1.1:1", "z", false, EngineStage::None, 4, 0}, 1);
        state.requestRegroup(start + Millis(i));
    }
    CHECK(state.candidates("s", EngineStage::None, {}, "z", start).size() == 1);
    state.regroupIfPending(start + Millis(300));
    CHECK(state.candidates("s", EngineStage::None, {}, "z", start).size() == 50);
}

TEST_CASE("Routers of other groups get news about crashes without the rest of the report")
{
    // Guards against reports of work to hundreds of routers, which fill the links of small hosts and are lost there.
    boost::asio::io_context context;
    RouterState sender(context.get_executor(), named("r0"), 1);
    RouterState receiver(context.get_executor(), named("r1"), 1);
    addRouters(sender);
    sender.regroup();
    CHECK(sender.groupPeers().size() + sender.otherGroupsRouters().size() == 39);
    for (int i = 0; i < 200; ++i) {
        sender.work->add(numbered("engine-", i), BackendWork{1, 100, KvCacheForecast::constant(5000)});
    }
    CHECK_FALSE(RouterState::crashNews(*sender.takeReport(Clock::now())).has_value());
    for (std::uint64_t i = 1; i <= 2; ++i) {
        const TimePoint now = Clock::now() + Millis(500 * i);
        sender.recordCrash(CrashedCall{i, numbered("e", int(i)), {{"part:bad", false}}, Millis(0), Millis(100)}, now);
        const auto news = RouterState::crashNews(*sender.takeReport(now));
        REQUIRE(news.has_value());
        CHECK(encodePeerReport(*news).size() < 500);
        receiver.applyReport(*news, now);
    }
    CHECK(receiver.crashes.findContained({"part:bad"}) != nullptr);
    CHECK(receiver.work->total("engine-1").requests == 0);
}

TEST_CASE("Of many streams that break off together, a report names those with the least output")
{
    // Guards against peers that do not hear of the request that crashed an engine, because the streams beside it fill
    // the report.
    boost::asio::io_context context;
    RouterState sender(context.get_executor(), named("r0"), 1);
    const TimePoint now = Clock::now();
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const Millis outputTime = i == 100 ? Millis(200) : Millis(5000 + i);
        sender.recordCrash(CrashedCall{i, "e", {{"part:a", false}}, Millis(0), Millis(6000), outputTime}, now);
    }
    const auto report = sender.takeReport(now);
    REQUIRE(report);
    CHECK(report->crashes.size() < 100);
    CHECK(std::any_of(report->crashes.begin(), report->crashes.end(),
                      [](const CrashedCall &call) { return call.id == 100; }));
}

TEST_CASE("A limit that a backend server names to one router holds at its peers, until it is lifted or restarted")
{
    // Guards against a server in need that each router has to overload before it learns of the limit.
    boost::asio::io_context context;
    RouterState sender(context.get_executor(), named("r0"), 1);
    RouterState receiver(context.get_executor(), named("r1"), 1);
    addRouters(receiver);
    receiver.backends.put("e", BackendServer{"e", "s", "10.0.1.1:1", "z", false, EngineStage::None, 4, 7}, 1);
    receiver.regroup();
    const auto isLimited = [&] {
        return receiver.candidates("s", EngineStage::None, {}, "z", Clock::now()).at(0).atNamedLimit;
    };
    TimePoint now = Clock::now();
    sender.recordNamedLimit("e", 0.5, now);
    receiver.applyReport(*sender.takeReport(now), now);
    CHECK(isLimited());
    SECTION("An answer without a limit lifts it")
    {
        now += Millis(100);
        sender.recordNamedLimit("e", std::numeric_limits<double>::infinity(), now);
        receiver.applyReport(*sender.takeReport(now), now);
        CHECK_FALSE(isLimited());
    }
    SECTION("Implausible news change nothing")
    {
        PeerReport report;
        report.router = "r2";
        report.sequence = 1;
        for (const double rate : {-1.0, std::numeric_limits<double>::quiet_NaN()}) {
            ++report.sequence;
            report.namedLimits["e"] = NamedLimit{rate, Millis(0)};
            receiver.applyReport(report, now + Millis(100));
            CHECK(isLimited());
        }
        ++report.sequence;
        report.namedLimits["e"] = NamedLimit{std::numeric_limits<double>::infinity(), Millis(-1)};
        receiver.applyReport(report, now + Millis(100));
        CHECK(isLimited());
    }
}

TEST_CASE("Only the routers that use an engine share its limit")
{
    // Guards against routers of several groups that each take the whole rate of an engine.
    boost::asio::io_context context;
    std::map<std::string, int> users;
    for (int self = 0; self < 40; ++self) {
        RouterState state(context.get_executor(), named(numbered("r", self)), 1);
        addRouters(state);
        for (int i = 0; i < 30; ++i) {
            const std::string id = numbered("e", i);
            state.backends.put(id, BackendServer{id, "big", "10.0.1.1:1", "z", false, EngineStage::Decode, 4, 0}, 1);
            state.recordNamedLimit(id, 0.2, Clock::now());
        }
        state.regroup();
        const TimePoint now = Clock::now();
        for (int i = 0; i < 30; ++i) {
            const std::string id = numbered("e", i);
            // One slot in five seconds, over 500 s: each router that uses the engine gets some.
            for (std::int64_t second = 0; second < 500; ++second) {
                state.namedLimits->advance(now + std::chrono::seconds(second), 1796400000000 + second * 1000);
                if (state.namedLimits->mayRequest(id)) {
                    ++users[id];
                    break;
                }
            }
        }
    }
    for (const auto &[id, count] : users) {
        CAPTURE(id);
        CHECK(count >= 10);
        CHECK(count <= 30);
    }
}
