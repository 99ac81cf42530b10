#include "gossipsimulation.h"

#include "cyclamencross/net/datagramsocket.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cyclamen;

namespace
{

rc::Gen<MemberRecord> anyRecord()
{
    return rc::gen::apply(
        [](int incarnation, int heartbeat, int health, int lifecycle, int loadSequence, int revision) {
            MemberRecord record;
            record.name = "entry";
            record.incarnation = static_cast<std::uint64_t>(incarnation);
            record.heartbeat = static_cast<std::uint32_t>(heartbeat);
            record.health = static_cast<Health>(health);
            record.lifecycle = static_cast<Lifecycle>(lifecycle);
            record.loadSequence = static_cast<std::uint32_t>(loadSequence);
            record.load = record.loadSequence * 10;
            record.configRevision = static_cast<std::uint64_t>(revision);
            return record;
        },
        rc::gen::inRange(1, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
        rc::gen::inRange(0, 3), rc::gen::inRange(0, 3));
}

}

// Guards against entries whose member lists diverge because updates arrive reordered or repeated.
TEST_CASE("merging records does not depend on order or repetition")
{
    CHECK(rc::check([] {
        const auto records = *rc::gen::nonEmpty(rc::gen::container<std::vector<MemberRecord>>(anyRecord()));
        MemberRecord inOrder = records.front();
        for (const MemberRecord &record : records) {
            mergeRecord(inOrder, record);
        }
        auto shuffled = records;
        const auto repeated = *rc::gen::container<std::vector<MemberRecord>>(rc::gen::elementOf(records));
        shuffled.insert(shuffled.end(), repeated.begin(), repeated.end());
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        MemberRecord mixed = shuffled.front();
        for (const MemberRecord &record : shuffled) {
            mergeRecord(mixed, record);
        }
        RC_ASSERT(mixed == inOrder);
    }));
}

// Guards against computed sizes below the encoded size, which would let a datagram exceed 1,400 bytes.
TEST_CASE("the computed size of a message equals its encoded size")
{
    CHECK(rc::check([] {
        GossipMessage message;
        message.number = *rc::gen::arbitrary<std::uint64_t>();
        message.target = "10.1.2.3:400";
        message.pageAfter = *rc::gen::string<std::string>();
        RC_PRE(message.pageAfter.size() < 256U);
        for (MemberRecord &record : *rc::gen::container<std::vector<MemberRecord>>(anyRecord())) {
            record.gossipAddress = "127.0.0.1:65535";
            message.items.emplace_back(record);
            message.items.emplace_back(
                MemberStatus{record.name, record.incarnation, 1, record.health, record.lifecycle});
        }
        message.items.emplace_back(CrashReport{7, "10.0.0.1:80", "entry", 1000});
        message.items.emplace_back(CrashLift{7, 1000});
        message.items.emplace_back(BackendDeparture{"10.0.0.2:80", 9});
        std::size_t bytes = encodedSize(message);
        for (const GossipItem &item : message.items) {
            bytes += encodedSize(item);
        }
        const std::string encoded = encodeGossip(message);
        RC_ASSERT(encoded.size() == bytes);
        RC_ASSERT(decodeGossip(encoded) == message);
        RC_ASSERT(!decodeGossip(encoded.substr(0, encoded.size() - 1)));
    }));
}

// Guards against live members declared dead, lost members and diverging member lists when the network reorders, repeats
// and loses datagrams.
TEST_CASE("entries agree on an unreliable network and no live entry is declared dead")
{
    CHECK(rc::check([] {
        GossipSimulation simulation(*rc::gen::inRange<std::size_t>(2, 9), *rc::gen::arbitrary<std::uint64_t>());
        simulation.faults = {0.1, 0.3, Millis(60)};
        bool anyDead = false;
        simulation.startAll();
        RC_ASSERT(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(60000)).has_value());
        for (int second = 0; second < 20; ++second) {
            simulation.run(Millis(1000));
            for (const auto &node : simulation.nodes) {
                anyDead = anyDead || node.membership->members().liveCount() < simulation.nodes.size();
            }
        }
        RC_ASSERT(!anyDead);
        const std::size_t victim = simulation.nodes.size() - 1;
        simulation.nodes[victim].membership.reset();
        RC_ASSERT(simulation.runUntil([&] { return simulation.allSee(victim, MemberState::Dead); }, Millis(60000))
                      .has_value());
        simulation.start(victim, 2);
        RC_ASSERT(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(60000)).has_value());
    }));
}

// Guards against a configuration revision that decreases or is not spread to all entries when datagrams are reordered
// and lost.
TEST_CASE("the greatest configuration revision reaches all entries and never decreases")
{
    CHECK(rc::check([] {
        GossipSimulation simulation(8, *rc::gen::arbitrary<std::uint64_t>());
        simulation.faults = {0.2, 0.3, Millis(200)};
        simulation.startAll();
        std::vector<std::uint64_t> seen(simulation.nodes.size(), 0);
        std::uint64_t greatest = 0;
        for (const auto revision : *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange(1, 100))) {
            greatest = std::max(greatest, revision);
            simulation.setRevision(simulation.random() % simulation.nodes.size(), revision);
            simulation.run(Millis(300));
            for (std::size_t i = 0; i < seen.size(); ++i) {
                RC_ASSERT(simulation.nodes[i].membership->members().self().configRevision >= seen[i]);
                seen[i] = simulation.nodes[i].membership->members().self().configRevision;
            }
        }
        const auto all = [&] {
            return std::all_of(simulation.nodes.begin(), simulation.nodes.end(),
                               [greatest](const auto &node) { return node.revision == greatest; });
        };
        RC_ASSERT(simulation.runUntil(all, Millis(10000)).has_value());
    }));
}

// Guards against callers sent to an entry that is shutting down because a suspicion hides that it is draining.
TEST_CASE("the states draining and left reach all entries")
{
    GossipSimulation simulation(16, 1);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    simulation.nodes[3].membership->drain();
    REQUIRE(simulation.runUntil([&] { return simulation.allSee(3, MemberState::Draining); }, Millis(5000)));
    simulation.nodes[3].paused = true;
    simulation.run(Millis(1500));
    CHECK(simulation.allSee(3, MemberState::Draining));
    simulation.nodes[3].paused = false;
    simulation.nodes[3].membership->leave();
    simulation.nodes[3].membership.reset();
    CHECK(simulation.runUntil([&] { return simulation.allSee(3, MemberState::Left); }, Millis(5000)));
}

// Guards against a resumed process that declares its peers dead because it received nothing from them while it was
// paused.
TEST_CASE("a paused entry is declared dead, rejoins and declares no peer dead")
{
    GossipSimulation simulation(6, 2);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    // The entry is paused while it suspects another, so that it cannot receive the refutation.
    const auto seen = [&] { return toMember(*simulation.nodes[2].membership->members().find("entry-0003")).state; };
    simulation.nodes[3].paused = true;
    REQUIRE(simulation.runUntil([&] { return seen() == MemberState::Suspect; }, Millis(10000)));
    simulation.nodes[3].paused = false;
    simulation.nodes[2].paused = true;
    REQUIRE(simulation.runUntil([&] { return simulation.allSee(2, MemberState::Dead); }, Millis(10000)));
    simulation.nodes[2].paused = false;
    // This tick runs before any Ack can arrive.
    simulation.nodes[2].membership->tick(simulation.now);
    CHECK(seen() == MemberState::Suspect);
    simulation.run(GossipSimulation::Step);
    CHECK(simulation.nodes[2].membership->members().liveCount() == 6);
    CHECK(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
}

// Guards against two sides of a partition that stay separate after the network between availability zones is restored.
TEST_CASE("the two sides of a partition merge after it ends")
{
    GossipSimulation simulation(10, 3);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    simulation.isPartitioned = [](std::size_t from, std::size_t to) { return (from < 5) != (to < 5); };
    simulation.run(Millis(60000));
    CHECK(simulation.nodes[0].membership->members().liveCount() == 5);
    simulation.isPartitioned = nullptr;
    CHECK(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(30000)));
}

// Guards against crash reports that are lost, that are spread forever, or that remain after an operator has lifted the
// containment.
TEST_CASE("crash reports and lifts reach all entries")
{
    GossipSimulation simulation(12, 4);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    const CrashReport report{99, "10.9.9.9:80", "entry-0001", 1000};
    simulation.nodes[1].crashes.push_back(report);
    simulation.nodes[1].membership->disseminate(report);
    const auto allHave = [&](std::size_t count) {
        return std::all_of(simulation.nodes.begin(), simulation.nodes.end(),
                           [count](const auto &node) { return node.crashes.size() == count; });
    };
    REQUIRE(simulation.runUntil([&] { return allHave(1); }, Millis(10000)));
    simulation.run(Millis(20000));
    simulation.nodes[5].crashes.clear();
    simulation.nodes[5].membership->disseminate(CrashLift{99, 1000});
    CHECK(simulation.runUntil([&] { return allHave(0); }, Millis(10000)));
}

// Guards against an entry that stops trying to join while its configured peers are down, and against datagrams above
// the size limit.
TEST_CASE("joining is retried until a peer answers")
{
    GossipSimulation simulation(40, 5);
    std::size_t largest = 0;
    simulation.onSend = [&largest](const auto &, const Datagram &datagram) {
        largest = std::max(largest, datagram.payload.size());
    };
    for (std::size_t i = 2; i < simulation.nodes.size(); ++i) {
        simulation.start(i, 1);
    }
    simulation.run(Millis(5000));
    CHECK_FALSE(simulation.nodes[7].membership->hasJoined());
    simulation.start(1, 1);
    const auto allJoined = [&] {
        return std::all_of(simulation.nodes.begin() + 1, simulation.nodes.end(),
                           [](const auto &node) { return node.membership->hasJoined(); });
    };
    CHECK(simulation.runUntil(allJoined, Millis(20000)));
    simulation.start(0, 1);
    CHECK(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(30000)));
    CHECK(simulation.nodes[7].membership->hasJoined());
    // Sender name, incarnation, sequence and keyed hash take fewer than 150 bytes.
    CHECK(largest + 150 <= DatagramSocket::MaxBytes);
}

// Guards against new work for a leaving backend server from an entry that cannot read the host list, and against a
// backend server that stays excluded although the entry's host list shows it as live.
TEST_CASE("entries with an older host list learn from peers that a backend server is leaving")
{
    const Backend live{"10.0.0.1:80", BackendKind::Engine, "p", "m", EngineRole::Decode, "z", BackendState::Live, true};
    Backend leaving = live;
    leaving.state = BackendState::Leaving;
    GossipSimulation simulation(8, 6);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    for (auto &node : simulation.nodes) {
        CHECK(node.departures.updateHostList(HostList{1, {live}}, TimePoint()).empty());
    }
    for (const BackendDeparture &departure :
         simulation.nodes[2].departures.updateHostList(HostList{2, {leaving}}, TimePoint())) {
        simulation.nodes[2].membership->disseminate(departure);
    }
    CHECK(simulation.runUntil(
        [&] {
            return std::all_of(simulation.nodes.begin(), simulation.nodes.end(), [&](const auto &node) {
                return node.departures.effectiveBackends() == std::vector{leaving};
            });
        },
        Millis(5000)));
    DepartureTracker &late = simulation.nodes[5].departures;
    late.updateHostList(HostList{1, {live}}, TimePoint() + Millis(5000));
    CHECK(late.effectiveBackends() == std::vector{leaving});
    late.updateHostList(HostList{3, {live}}, TimePoint() + Millis(5000));
    CHECK(late.effectiveBackends() == std::vector{live});
    CHECK_FALSE(late.record(BackendDeparture{live.address, 2}, TimePoint()));
    // An older list, as an outdated replica of the platform may return it, is ignored until the timeout.
    late.updateHostList(HostList{2, {leaving}}, TimePoint() + Millis(6000));
    CHECK(late.effectiveBackends() == std::vector{live});
    late.updateHostList(HostList{2, {leaving}}, TimePoint() + Millis(5000) + DepartureTracker::UnconfirmedLifetime);
    CHECK(late.effectiveBackends() == std::vector{leaving});
    DepartureTracker &reset = simulation.nodes[6].departures;
    reset.updateHostList(HostList{1, {live}}, TimePoint() + DepartureTracker::UnconfirmedLifetime);
    CHECK(reset.effectiveBackends() == std::vector{live});
}
