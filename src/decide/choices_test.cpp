#include "cyclamencross/decide/admission.h"
#include "cyclamencross/decide/enginechoice.h"
#include "cyclamencross/decide/engineowner.h"
#include "cyclamencross/decide/entrychoice.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

Member makeMember(const std::string &name, const std::string &zone, std::uint32_t load = 0)
{
    Member member;
    member.name = name;
    member.zone = zone;
    member.region = "sk-north";
    member.load = load;
    return member;
}

Backend makeEngine(const std::string &address, const std::string &zone = "zilina-a")
{
    Backend engine;
    engine.address = address;
    engine.zone = zone;
    return engine;
}

}

// Guards against an owner in another availability zone while a member in the engine's zone is available, and against an
// owner that changes although the owner itself is still available.
TEST_CASE("an engine is owned within its zone and keeps its owner when other members leave")
{
    std::vector<Member> members{makeMember("e1", "zilina-a"), makeMember("e2", "zilina-a"),
                                makeMember("e3", "martin-b"), makeMember("e4", "zilina-a")};
    const auto order = ownerOrder(makeEngine("127.0.0.1:9001"), members);
    REQUIRE(order.size() == 4);
    CHECK(order[3].name == "e3");
    for (Member &member : members) {
        member.state = member.name == order[1].name ? MemberState::Draining : MemberState::Alive;
    }
    const auto after = ownerOrder(makeEngine("127.0.0.1:9001"), members);
    REQUIRE(after.size() == 3);
    CHECK(after[0] == order[0]);
    CHECK(firstOwners(makeEngine("127.0.0.1:9001"), members, 1).at(0)->name == order[0].name);
}

// Guards against engines with two owners or none, which would happen if ownerOrder() and ownedEngines() disagreed.
TEST_CASE("ownedEngines lists each engine for the first entry of ownerOrder only")
{
    const std::vector<Member> members{makeMember("e1", "zilina-a"), makeMember("e2", "zilina-a"),
                                      makeMember("e3", "martin-b")};
    const std::vector<Backend> engines{makeEngine("a:1"), makeEngine("b:2", "martin-b"),
                                       makeEngine("c:3", "no-entries"), makeEngine("d:4")};
    std::size_t owned = 0;
    for (const Member &member : members) {
        for (const Backend &engine : ownedEngines(member.name, engines, members)) {
            CHECK(ownerOrder(engine, members).front().name == member.name);
            ++owned;
        }
    }
    CHECK(owned == engines.size());
}

// Guards against sessions that change their entry on an almost idle fleet, against an overloaded entry that keeps
// getting callers, and against callers sent to a draining entry.
TEST_CASE("entry choice is stable, avoids overloaded entries and skips draining ones")
{
    std::vector<Member> members{makeMember("e1", "a"), makeMember("e2", "a"), makeMember("e3", "a")};
    const auto first = chooseEntry("w", "s", "sk-north", members);
    REQUIRE(first);
    auto &chosen =
        *std::find_if(members.begin(), members.end(), [&](const Member &m) { return m.name == first->name; });
    chosen.load = 1;
    CHECK(chooseEntry("w", "s", "sk-north", members)->name == first->name);
    chosen.load = 30;
    CHECK(chooseEntry("w", "s", "sk-north", members)->name != first->name);
    chosen.load = 0;
    chosen.state = MemberState::Draining;
    CHECK(chooseEntry("w", "s", "sk-north", members)->name != first->name);
    CHECK(chooseEntry("w", "s", "rw-north", members));
    CHECK_FALSE(chooseEntry("w", "s", "sk-north", {}));
}

// Guards against a prefix hint that sends a request to an engine whose queue takes longer than the cache hit saves.
TEST_CASE("a hinted engine is preferred only while its queue is shorter than the saved time")
{
    std::mt19937_64 random(1);
    const std::vector<Backend> engines{makeEngine("a"), makeEngine("b")};
    std::uint64_t queued = 40;
    const LoadLookup load = [&queued](const std::string &engine) {
        return EngineLoad{engine, 8, 0, engine == "a" ? queued : 0, 10000, {}};
    };
    CHECK(rankPrefill(engines, load, 1000, "a", random).front().engine.address == "a");
    queued = 100;
    const auto ranked = rankPrefill(engines, load, 1000, "a", random);
    CHECK(ranked.front().engine.address == "b");
    CHECK(ranked.front().costMs == Approx(100));
    CHECK(ranked.back().expectedWaitMs == Approx(10));
}

// Guards against engines of unknown load that are never used, and against unsigned underflow of free slots when an
// engine reports more held than existing slots.
TEST_CASE("decode ranking prefers free slots, tries unknown engines and respects the zone")
{
    std::mt19937_64 random(1);
    const std::vector<Backend> engines{makeEngine("full"), makeEngine("free"), makeEngine("unknown", "martin-b")};
    const LoadLookup load = [](const std::string &engine) -> std::optional<EngineLoad> {
        if (engine == "unknown") {
            return std::nullopt;
        }
        return EngineLoad{engine, 20, engine == "full" ? 25U : 3U, 0, 0, {}};
    };
    const auto ranked = rankDecode(engines, load, "martin-b", random);
    CHECK(ranked[0].engine.address == "unknown");
    CHECK(ranked[1].engine.address == "free");
    CHECK(ranked[2].engine.address == "full");
}

// Guards against a ranking whose cost grows with the fleet, and against a sample without the hinted engine.
TEST_CASE("a large set of engines is sampled and the sample includes the hinted engine")
{
    std::mt19937_64 random(1);
    std::vector<Backend> engines;
    for (int i = 0; i < 1000; ++i) {
        engines.push_back(makeEngine(std::to_string(i)));
    }
    const LoadLookup load = [](const std::string &engine) { return EngineLoad{engine, 8, 0, 0, 10000, {}}; };
    const auto ranked = rankPrefill(engines, load, 1000, "500", random);
    CHECK(ranked.size() == MaxRankedCandidates);
    CHECK(ranked.front().engine.address == "500");
    std::set<std::string> drawn;
    for (int i = 0; i < 200; ++i) {
        for (const auto &engine : rankDecode(engines, load, "", random)) {
            drawn.insert(engine.engine.address);
        }
    }
    CHECK(drawn.size() > 990);
}

// Guards against prefills that are started although the first output would miss its target, and against overflow from
// an extreme estimate.
TEST_CASE("the safety margin of admission grows with the wasted-prefill weight")
{
    const RankedEngine engine{makeEngine("a"), 100, 200, false};
    CHECK(admit(engine, Millis(20), Millis(50), Millis(420), 0).admitted);
    const auto strict = admit(engine, Millis(20), Millis(50), Millis(420), 1);
    CHECK_FALSE(strict.admitted);
    CHECK(strict.expected == Millis(320));
    CHECK(strict.left == Millis(244));
    CHECK_FALSE(admit({makeEngine("a"), 1e300, 0, false}, Millis(0), Millis(0), Millis(420), 0).admitted);
}
