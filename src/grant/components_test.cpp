#include "orphantracker.h"
#include "prefixhints.h"
#include "requestorigin.h"
#include "slotmessages.h"

#include "cyclamencross/base/hash.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

const TimePoint Start{Millis(100000)};
const Millis Suspicion{3000};

Member makeMember(const std::string &name, std::uint64_t incarnation, MemberState state = MemberState::Alive)
{
    Member member;
    member.name = name;
    member.incarnation = incarnation;
    member.state = state;
    return member;
}

FleetView makeView(std::vector<Member> members)
{
    FleetView view;
    view.self = makeMember("self", 1);
    view.members = std::move(members);
    return view;
}

std::string makeId(const std::string &entry, std::uint64_t incarnation)
{
    return entry + "." + toHex(incarnation) + ".7";
}

}

// Guards against a request id that is parsed incorrectly, which would cancel live requests of another entry.
TEST_CASE("entry and incarnation are parsed from request ids")
{
    CHECK(parseRequestOrigin("entry.a.00000000000000ff.12") == RequestOrigin{"entry.a", 255});
    for (const char *invalid : {"", "x", "a.b", ".ff.1", "a..1", "a.xyz.1", "a.ff ff.1"}) {
        CHECK_FALSE(parseRequestOrigin(invalid));
    }
}

// Guards against engine memory that is never freed because a dead entry's requests stay, and against cancelling the
// requests of entries that are alive or not known yet.
TEST_CASE("requests of dead and unknown incarnations are orphans")
{
    OrphanTracker tracker(Suspicion);
    const std::vector<HeldRequest> list{
        {makeId("self", 1), "decoding", Millis(9000), true}, {makeId("alive", 2), "decoding", Millis(9000), true},
        {makeId("dead", 3), "decoding", Millis(9000), true}, {makeId("left", 4), "decoding", Millis(9000), true},
        {makeId("new", 5), "decoding", Millis(9000), true},  {"made-by-hand", "decoding", Millis(9000), true}};
    const FleetView view = makeView(
        {makeMember("alive", 2), makeMember("dead", 3, MemberState::Dead), makeMember("left", 4, MemberState::Left)});
    using Orphans = std::vector<OrphanTracker::Orphan>;
    const Orphans gone{{makeId("dead", 3), "entry-dead"}, {makeId("left", 4), "entry-dead"}};
    for (int ms = 0; ms <= 3000; ms += 1000) {
        CHECK(tracker.update("engine", list, view, Start + Millis(ms)) == gone);
    }
    Orphans later = gone;
    later.push_back({makeId("new", 5), "entry-unknown"});
    CHECK(tracker.update("engine", list, view, Start + Millis(4000)) == later);

    const FleetView restarted = makeView({makeMember("alive", 20)});
    CHECK(tracker.isDead(makeId("alive", 2), restarted));
    CHECK_FALSE(tracker.isDead(makeId("alive", 20), restarted));
    FleetView isolated = view;
    isolated.isolated = true;
    CHECK(tracker.update("engine", list, isolated, Start + Millis(5000)).empty());
}

// Guards against cancelling a stream that is about to be resumed, and against a pause of this process that is mistaken
// for an absence of the other entries.
TEST_CASE("unattached requests are cancelled after five seconds of observation")
{
    OrphanTracker tracker(Suspicion);
    const FleetView view = makeView({makeMember("alive", 2)});
    const std::vector<HeldRequest> list{{makeId("alive", 2), "decoding", Millis(60000), false}};
    for (int ms = 0; ms <= 5000; ms += 1000) {
        CHECK(tracker.update("engine", list, view, Start + Millis(ms)).empty());
    }
    CHECK(tracker.update("engine", list, view, Start + Millis(30000)).empty());
    for (int ms = 31000; ms <= 35000; ms += 1000) {
        CHECK(tracker.update("engine", list, view, Start + Millis(ms)).empty());
    }
    CHECK(tracker.update("engine", list, view, Start + Millis(36000)).size() == 1);
}

// Guards against hints that remain for evicted prefixes after lost events, and against unbounded memory.
TEST_CASE("a gap in cache events drops the hints of that engine only")
{
    PrefixHints hints(3);
    CHECK_FALSE(hints.apply("a", {6, {{4, true, "p4"}, {5, true, "p5"}}}));
    CHECK(hints.nextSequence("a") == 6);
    hints.record("q", "b");
    CHECK_FALSE(hints.apply("a", {7, {{6, false, "p4"}}}));
    CHECK_FALSE(hints.find("p4"));
    CHECK(hints.apply("a", {9, {{8, true, "p8"}}}));
    CHECK_FALSE(hints.find("p5"));
    CHECK(hints.find("p8") == "a");
    CHECK(hints.find("q") == "b");
    CHECK(hints.apply("a", {10, {}}));
    CHECK(hints.apply("a", {2, {{1, true, "p1"}}}));
    CHECK_FALSE(hints.apply("a", {3, {{2, false, "q"}}}));
    CHECK(hints.find("q") == "b");
    for (const char *prefix : {"x", "y", "z"}) {
        hints.record(prefix, "c");
    }
    CHECK(hints.size() == 3);
    CHECK_FALSE(hints.find("q"));
}

// Guards against a malformed datagram that terminates the process or is taken for a grant.
TEST_CASE("messages are unchanged by encoding and decoding, and malformed ones are dropped")
{
    const SlotAsk request{"e.1.2", "127.0.0.1:1", "w", 2, 1, 77, Millis(250), 9};
    CHECK(decodeSlotRequest(encode(request)) == request);
    const SlotRelease release{"e.1.2", "127.0.0.1:1", 9};
    CHECK(decodeSlotRelease(encode(release)) == release);
    SlotReply reply;
    reply.status = SlotStatus::Granted;
    reply.engine = "127.0.0.1:1";
    reply.load = {reply.engine, 20, 3, 500, 1e4, Start - Millis(30)};
    CHECK(decodeSlotReply(encode(reply, Start), Start + Millis(70))->load.known == Start + Millis(40));
    reply.load.known = TimePoint();
    CHECK(decodeSlotReply(encode(reply, Start), Start) == reply);
    const std::string whole = encode(reply, Start);
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CHECK_FALSE(decodeSlotReply(whole.substr(0, size), Start));
    }
    CHECK_FALSE(decodeSlotRequest("\xff\xff\xff\xff\xff\xff\xff\xff\xff"));
}
