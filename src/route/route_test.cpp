#include "cyclamencross/route/backendhealth.h"
#include "cyclamencross/route/callerpatience.h"
#include "cyclamencross/route/placement.h"
#include "cyclamencross/route/placementcandidate.h"
#include "cyclamencross/route/retryallowance.h"
#include "cyclamencross/route/roomwait.h"
#include "cyclamencross/route/roster.h"
#include "cyclamencross/route/routetablebuilder.h"
#include "cyclamencross/route/subset.h"
#include "cyclamencross/route/workbook.h"

#include <algorithm>
#include <limits>
#include <random>
#include <set>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};

RouteRule route(const std::string &prefix)
{
    RouteRule rule;
    rule.name = prefix;
    rule.host = "a.example";
    rule.pathPrefix = prefix;
    return rule;
}

PlacementCandidate engine(const std::string &id, std::int64_t memoryTokens)
{
    PlacementCandidate candidate;
    candidate.server.id = id;
    candidate.server.slots = 4;
    candidate.work.memoryTokens = memoryTokens;
    return candidate;
}

double noRandom()
{
    return 0;
}

constexpr double AnyLoad = std::numeric_limits<double>::infinity();

// Callers of a burst at engines with room for a fixed number of streams.
struct BurstLoad
{
    static constexpr int Rooms = 60;
    static constexpr int StreamMillis = 3000;
    static constexpr int BurstMillis = 8000;
    static constexpr double ArrivalsPerMilli = 1.9 * Rooms / StreamMillis;

    bool lateOnesYield = true;

    // Returns the share of the streams begun in the second half of the burst that were on time.
    double onTimeShare() const
    {
        struct Caller
        {
            RoomWait wait;
            TimePoint nextLook;
        };
        std::mt19937 generator(1);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::vector<Caller> callers;
        std::multiset<int> ends;
        double due = 0;
        int onTime = 0;
        int late = 0;
        bool othersOnTime = false;
        for (int milli = 0; milli < BurstMillis; ++milli) {
            const TimePoint now = Start + Millis(milli);
            for (due += ArrivalsPerMilli; due >= 1; due -= 1) {
                callers.push_back(Caller{RoomWait(now, Millis(540), Millis(2700)), now});
            }
            ends.erase(ends.begin(), ends.upper_bound(milli));
            if (milli % 100 == 0) { // Reports of other routers are that old.
                othersOnTime = std::any_of(callers.begin(), callers.end(),
                                           [now](const Caller &caller) { return caller.wait.isOnTime(now); });
            }
            std::erase_if(callers, [&](Caller &caller) {
                if (caller.nextLook > now) {
                    return false;
                }
                caller.nextLook = now + caller.wait.pause(now, uniform(generator));
                const RoomWait::Turn turn = caller.wait.turn(now, this->lateOnesYield && othersOnTime);
                if (turn != RoomWait::Turn::Look || ends.size() >= std::size_t(Rooms)) {
                    return turn == RoomWait::Turn::End;
                }
                ends.insert(milli + StreamMillis);
                int &counter = caller.wait.isOnTime(now) ? onTime : late;
                counter += milli >= BurstMillis / 2 ? 1 : 0;
                return true;
            });
        }
        return double(onTime) / std::max(1, onTime + late);
    }
};

}

TEST_CASE("The longest prefix of the host's routes is chosen")
{
    const RouteTable table = RouteTableBuilder().add(route("/a/")).add(route("/a/b/")).add(route("/c/")).build();
    REQUIRE(table.match("a.example", "/a/b/x?y=/c/") != nullptr);
    CHECK(table.match("a.example", "/a/b/x?y=/c/")->pathPrefix == "/a/b/");
    CHECK(table.match("A.example:80", "/a/x")->pathPrefix == "/a/");
    // Guards against a prefix that begins the text of the path but not its parts.
    CHECK(table.match("a.example", "/a") == nullptr);
    CHECK(table.match("a.example", "/ab/x") == nullptr);
    CHECK(table.match("b.example", "/a/x") == nullptr);
}

TEST_CASE("Only resumable streams and idempotent requests may be repeated")
{
    RouteRule rule = route("/a/");
    CHECK_FALSE(rule.mayRepeat());
    rule.kind = RequestKind::Stream;
    CHECK_FALSE(rule.mayRepeat());
    rule.resumable = true;
    CHECK(rule.mayRepeat());
    rule.kind = RequestKind::Idempotent;
    rule.resumable = false;
    CHECK(rule.mayRepeat());
    rule.kind = RequestKind::NonIdempotent;
    rule.resumable = true;
    CHECK_FALSE(rule.mayRepeat());
}

TEST_CASE("A roster ignores older revisions and holds lapsed entries")
{
    Roster<int> roster;
    CHECK(roster.put("a", 1, 5));
    CHECK_FALSE(roster.put("a", 2, 4));
    CHECK(*roster.find("a") == 1);
    CHECK_FALSE(roster.remove("a", 6, Start + Millis(100)));
    CHECK(roster.find("a") != nullptr);
    CHECK(roster.expire(Start + Millis(50)) == 0);
    SECTION("An entry that is not back in time is gone")
    {
        CHECK(roster.expire(Start + Millis(100)) == 1);
        CHECK(roster.find("a") == nullptr);
    }
    SECTION("An entry that is back stays")
    {
        roster.put("a", 3, 7);
        CHECK(roster.expire(Start + Millis(200)) == 0);
        CHECK(*roster.find("a") == 3);
    }
}

TEST_CASE("The work of a silent peer is forgotten")
{
    WorkBook book;
    book.add("e", BackendWork{1, 10, 100});
    book.setPeer("p", {{"e", BackendWork{2, 20, 200}}}, Start);
    CHECK(book.total("e") == BackendWork{3, 30, 300});
    book.expire(Start + WorkBook::PeerLifetime + Millis(1));
    CHECK(book.total("e") == BackendWork{1, 10, 100});
    book.remove("e", BackendWork{1, 10, 100});
    CHECK(book.own().empty());
}

TEST_CASE("Routers together keep the bound of retries")
{
    // Guards against shares that add up to more than the fleet may spend.
    constexpr std::size_t Routers = 15;
    constexpr double Ratio = 0.2;
    constexpr double Slack = 116;
    int retries = 0;
    int requests = 0;
    for (std::size_t router = 0; router < Routers; ++router) {
        RetryAllowance allowance(Ratio, Slack, Millis(10000));
        for (int i = 0; i < 40; ++i) {
            const TimePoint now = Start + Millis(200 * i);
            allowance.addRequest("s", now);
            ++requests;
            while (allowance.takeRetry("s", Routers, now)) {
                ++retries;
            }
        }
    }
    CHECK(retries <= Ratio * requests + Slack);
    CHECK(retries > 0.5 * (Ratio * requests + Slack));
}

TEST_CASE("A retry allowance is available again after the window")
{
    RetryAllowance allowance(0, 10, Millis(1000));
    int taken = 0;
    while (allowance.takeRetry("s", 1, Start)) {
        ++taken;
    }
    CHECK(taken == 7);
    CHECK_FALSE(allowance.takeRetry("s", 1, Start + Millis(999)));
    CHECK(allowance.takeRetry("s", 1, Start + Millis(1001)));
}

TEST_CASE("An engine without room for the request is not chosen")
{
    // Guards against prompts that are read for an engine which then rejects their memory.
    const std::vector<PlacementCandidate> candidates{engine("a", 900), engine("b", 950)};
    CHECK(Placement::chooseDecode(candidates, 100, 1000, noRandom) == std::optional<std::size_t>(0));
    CHECK_FALSE(Placement::chooseDecode(candidates, 101, 1000, noRandom).has_value());
    SECTION("A request larger than any engine's memory waits for an empty one")
    {
        CHECK_FALSE(Placement::chooseDecode(candidates, 2000, 1000, noRandom).has_value());
        CHECK(Placement::chooseDecode({engine("c", 0)}, 2000, 1000, noRandom).has_value());
    }
    SECTION("An engine that has just refused a reservation is passed over")
    {
        std::vector<PlacementCandidate> marked = candidates;
        marked[0].full = true;
        CHECK(Placement::chooseDecode(marked, 50, 1000, noRandom) == std::optional<std::size_t>(1));
    }
}

TEST_CASE("An avoided backend server is chosen only if there is no other")
{
    std::vector<PlacementCandidate> candidates{engine("a", 0), engine("b", 0)};
    candidates[0].avoided = true;
    candidates[1].work.requests = 100;
    CHECK(Placement::choosePlain(candidates, AnyLoad, noRandom) == std::optional<std::size_t>(1));
    candidates[1].avoided = true;
    CHECK(Placement::choosePlain(candidates, AnyLoad, noRandom) == std::optional<std::size_t>(0));
}

TEST_CASE("The prompt goes to the engine that has read it first")
{
    std::vector<PlacementCandidate> candidates{engine("slow", 0), engine("fast", 0)};
    candidates[0].prefillPace = 0.04;
    candidates[1].prefillPace = 0.01;
    candidates[1].work.promptTokens = 2000;
    CHECK(Placement::choosePrefill(candidates, 1000, noRandom) == std::optional<std::size_t>(1));
    candidates[1].work.promptTokens = 9000;
    CHECK(Placement::choosePrefill(candidates, 1000, noRandom) == std::optional<std::size_t>(0));
}

TEST_CASE("A backend server that fails much is avoided, then tried again")
{
    BackendHealth health;
    for (int i = 0; i < 8; ++i) {
        health.add("a", CallOutcome::Broken, Start);
    }
    CHECK(health.isAvoided("a", Start));
    CHECK_FALSE(health.isAvoided("a", Start + 3 * BackendHealth::HalfLife));
}

TEST_CASE("Errors that a healthy application answers do not lead to avoidance")
{
    // Guards against a pool that avoids all its backend servers because every seventh answer is an error.
    BackendHealth health;
    TimePoint now = Start;
    for (int i = 0; i < 700; ++i) {
        now += Millis(50);
        health.add("a", i % 7 == 0 ? CallOutcome::Failed : CallOutcome::Served, now);
        CHECK_FALSE(health.isAvoided("a", now));
    }
}

TEST_CASE("An unreachable backend server is avoided for growing times")
{
    BackendHealth health;
    health.add("a", CallOutcome::Unreachable, Start);
    CHECK(health.isAvoided("a", Start + BackendHealth::FirstAvoidance - Millis(1)));
    const TimePoint second = Start + std::chrono::seconds(30);
    health.add("a", CallOutcome::Unreachable, second);
    CHECK(health.isAvoided("a", second + 2 * BackendHealth::FirstAvoidance - Millis(1)));
    health.add("a", CallOutcome::Served, second);
    CHECK(health.failureRate("a", second) < 0.3);
}

TEST_CASE("Groups are even, and one router more moves few others")
{
    std::vector<std::string> names;
    for (int i = 0; i < 121; ++i) {
        names.push_back("router-" + std::to_string(i));
    }
    const std::size_t groups = Subset::groupCount(names.size());
    CHECK(groups == 6);
    const auto before = Subset::divide(names, groups);
    std::map<std::size_t, int> sizes;
    for (const auto &[name, group] : before) {
        ++sizes[group];
    }
    CHECK(sizes.size() == groups);
    for (const auto &[group, size] : sizes) {
        CHECK(size >= 20);
        CHECK(size <= 21);
    }
    names.push_back("router-new");
    const auto after = Subset::divide(names, groups);
    int moved = 0;
    for (const auto &[name, group] : before) {
        moved += after.at(name) == group ? 0 : 1;
    }
    CHECK(moved <= int(groups));
}

TEST_CASE("In a burst beyond the room, nearly all streams that begin are on time")
{
    // Guards against room that goes to requests which are late already: on obrzil-grown, day scale-1, over half of the
    // streams of the bursts were served and late.
    CHECK(BurstLoad{true}.onTimeShare() >= 0.95);
    CHECK(BurstLoad{false}.onTimeShare() < 0.8);
}

TEST_CASE("Late requests look for room when nobody on time waits, and give up in the end")
{
    const RoomWait wait(Start, Millis(100), Millis(1000));
    CHECK(wait.turn(Start, true) == RoomWait::Turn::Look);
    CHECK(wait.turn(Start + Millis(100), true) == RoomWait::Turn::Yield);
    CHECK(wait.turn(Start + Millis(100), false) == RoomWait::Turn::Look);
    CHECK(wait.turn(Start + Millis(1000), false) == RoomWait::Turn::End);
    CHECK(wait.pause(Start, 1) == RoomWait::OnTimePause * 2);
    CHECK(wait.pause(Start + Millis(100), 0) == RoomWait::LatePause);
}

TEST_CASE("A plain backend server with a long queue is left out while a limit is given")
{
    // Guards against queues at the backend servers that make every call of a burst late.
    std::vector<PlacementCandidate> candidates{engine("a", 0), engine("b", 0)};
    candidates[0].work.requests = 8;
    candidates[1].work.requests = 9;
    CHECK(Placement::choosePlain(candidates, 2, noRandom) == std::nullopt);
    CHECK(Placement::choosePlain(candidates, AnyLoad, noRandom) == std::optional<std::size_t>(0));
    candidates[1].work.requests = 7;
    CHECK(Placement::choosePlain(candidates, 2, noRandom) == std::optional<std::size_t>(1));
    // What a backend server has told itself goes before an estimate from the calls of one group of routers.
    candidates[0].callsThere = 7;
    candidates[1].callsThere = 8;
    CHECK(Placement::choosePlain(candidates, 2, noRandom) == std::optional<std::size_t>(0));
    // Guards against refusals by a load that was extrapolated from one group of routers.
    candidates[0].callsThere = std::nullopt;
    candidates[0].work.requests = 100;
    candidates[0].estimated = true;
    CHECK(Placement::choosePlain(candidates, 2, noRandom) == std::optional<std::size_t>(0));
}

TEST_CASE("The work of a peer is replaced and expires as a whole")
{
    WorkBook book;
    book.setPeer("r1", {{"a", BackendWork{1, 10, 100}}, {"b", BackendWork{2, 0, 0}}}, Start);
    book.setPeer("r2", {{"a", BackendWork{1, 0, 5}}}, Start + Millis(100));
    CHECK(book.total("a") == BackendWork{2, 10, 105});
    book.setPeer("r1", {{"a", BackendWork{3, 0, 0}}}, Start);
    CHECK(book.total("a") == BackendWork{4, 0, 5});
    CHECK(book.total("b") == BackendWork());
    book.expire(Start + WorkBook::PeerLifetime + Millis(1));
    CHECK(book.total("a") == BackendWork{1, 0, 5});
}

TEST_CASE("A caller that comes back is told from new ones by the time it still allows")
{
    // Guards against refused callers that take room from new ones: theirs is late whatever happens now.
    const Millis timeout(14000);
    CallerPatience patience;
    CHECK(patience.usedBefore("r", Millis(12100), timeout, Start) == Millis(0));
    CHECK(patience.usedBefore("r", Millis(20000), timeout, Start) == Millis(0));
    CHECK(patience.usedBefore("r", Millis(10000), timeout, Start) == Millis(4000));
    CHECK(patience.usedBefore("other", Millis(1500), timeout, Start) == Millis(0));
    // Callers of the route have less time now; the old figure is forgotten.
    const TimePoint later = Start + CallerPatience::Period;
    CHECK(patience.usedBefore("r", Millis(3000), timeout, later) == Millis(11000));
    CHECK(patience.usedBefore("r", Millis(2900), timeout, later + CallerPatience::Period) == Millis(100));
    CHECK(patience.usedBefore("r", Millis(1000), timeout, later + CallerPatience::Period * 5) == Millis(0));
}
