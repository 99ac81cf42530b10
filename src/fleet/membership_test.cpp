#include "gossipsimulation.h"

#include "cyclamencross/net/datagramport.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cyclamen;

namespace
{

rc::Gen<MemberRecord> anyRecord()
{
    return rc::gen::apply(
        [](int incarnation, int heartbeat, int health, int lifecycle, int stamp, int revision) {
            MemberRecord record;
            record.name = "entry";
            record.incarnation = static_cast<std::uint64_t>(incarnation);
            record.heartbeat = static_cast<std::uint32_t>(heartbeat);
            record.health = static_cast<Health>(health);
            record.lifecycle = static_cast<Lifecycle>(lifecycle);
            record.stamp = static_cast<std::uint32_t>(stamp);
            record.load = record.stamp * 10;
            record.configRevision = static_cast<std::uint64_t>(revision);
            return record;
        },
        rc::gen::inRange(1, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 3),
        rc::gen::inRange(0, 3), rc::gen::inRange(0, 3));
}

}

// Guards against entries that come to different results because news reached them in another order or repeatedly.
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

// Guards against a size estimate below the real one, which would let a datagram outgrow 1,400 bytes.
TEST_CASE("the size of a message is known before it is encoded")
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
                MemberBrief{record.name, record.incarnation, 1, record.health, record.lifecycle});
        }
        message.items.emplace_back(CrashReport{7, "10.0.0.1:80", "entry", 1000});
        message.items.emplace_back(CrashLift{7, 1000});
        message.items.emplace_back(BackendNews{"10.0.0.2:80", 9});
        std::size_t bytes = wireBytes(message);
        for (const GossipItem &item : message.items) {
            bytes += wireBytes(item);
        }
        const std::string encoded = encodeGossip(message);
        RC_ASSERT(encoded.size() == bytes);
        RC_ASSERT(decodeGossip(encoded) == message);
        RC_ASSERT(!decodeGossip(encoded.substr(0, encoded.size() - 1)));
    }));
}

// Guards against false deaths, lost members and diverging views on a network that reorders, repeats and loses.
TEST_CASE("entries agree on a bad network and no live entry dies")
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

// Guards against a configuration revision that goes back or stops spreading when messages are reordered and lost.
TEST_CASE("the greatest configuration revision reaches all and never falls")
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

// Guards against callers sent to an entry that is going down: draining must stay visible under a suspicion.
TEST_CASE("draining and left reach all entries")
{
    GossipSimulation simulation(16, 1);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    simulation.nodes[3].membership->drain();
    REQUIRE(simulation.runUntil([&] { return simulation.allSee(3, MemberState::Draining); }, Millis(5000)));
    simulation.nodes[3].frozen = true;
    simulation.run(Millis(1500));
    CHECK(simulation.allSee(3, MemberState::Draining));
    simulation.nodes[3].frozen = false;
    simulation.nodes[3].membership->leave();
    simulation.nodes[3].membership.reset();
    CHECK(simulation.runUntil([&] { return simulation.allSee(3, MemberState::Left); }, Millis(5000)));
}

// Guards against a resumed process that declares its peers dead because it did not hear them while it was frozen.
TEST_CASE("a frozen entry is declared dead, returns and blames nobody")
{
    GossipSimulation simulation(6, 2);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    // The entry is frozen while it suspects another, whose refutation it then cannot hear.
    const auto seen = [&] { return toMember(*simulation.nodes[2].membership->members().find("entry-0003")).state; };
    simulation.nodes[3].frozen = true;
    REQUIRE(simulation.runUntil([&] { return seen() == MemberState::Suspect; }, Millis(10000)));
    simulation.nodes[3].frozen = false;
    simulation.nodes[2].frozen = true;
    REQUIRE(simulation.runUntil([&] { return simulation.allSee(2, MemberState::Dead); }, Millis(10000)));
    simulation.nodes[2].frozen = false;
    // Before any answer can arrive.
    simulation.nodes[2].membership->tick(simulation.now);
    CHECK(seen() == MemberState::Suspect);
    simulation.run(GossipSimulation::Step);
    CHECK(simulation.nodes[2].membership->members().liveCount() == 6);
    CHECK(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
}

// Guards against two halves that stay apart after the network between availability zones is restored.
TEST_CASE("the halves of a partition find each other again")
{
    GossipSimulation simulation(10, 3);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    simulation.isCut = [](std::size_t from, std::size_t to) { return (from < 5) != (to < 5); };
    simulation.run(Millis(60000));
    CHECK(simulation.nodes[0].membership->members().liveCount() == 5);
    simulation.isCut = nullptr;
    CHECK(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(30000)));
}

// Guards against crash news that is lost, that circulates for ever, or that outlives an operator's lift.
TEST_CASE("crashes and lifts reach all entries")
{
    GossipSimulation simulation(12, 4);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    const CrashReport report{99, "10.9.9.9:80", "entry-0001", 1000};
    simulation.nodes[1].crashes.push_back(report);
    simulation.nodes[1].membership->spread(report);
    const auto allHave = [&](std::size_t count) {
        return std::all_of(simulation.nodes.begin(), simulation.nodes.end(),
                           [count](const auto &node) { return node.crashes.size() == count; });
    };
    REQUIRE(simulation.runUntil([&] { return allHave(1); }, Millis(10000)));
    simulation.run(Millis(20000));
    simulation.nodes[5].crashes.clear();
    simulation.nodes[5].membership->spread(CrashLift{99, 1000});
    CHECK(simulation.runUntil([&] { return allHave(0); }, Millis(10000)));
}

// Guards against an entry that gives up when the peers it starts from are down, and against unbounded datagrams.
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
    CHECK(largest + 150 <= DatagramPort::MaxBytes);
}

// Guards against new work for a leaving backend server from an entry that cannot read the host list, and against a
// backend server that stays shut out although the own list shows it as live.
TEST_CASE("entries without a newer list learn from peers that a backend server leaves")
{
    const Backend live{"10.0.0.1:80", BackendKind::Engine, "p", "m", EngineRole::Decode, "z", BackendState::Live, true};
    Backend leaving = live;
    leaving.state = BackendState::Leaving;
    GossipSimulation simulation(8, 6);
    simulation.startAll();
    REQUIRE(simulation.runUntil([&] { return simulation.allAlive(); }, Millis(20000)));
    for (auto &node : simulation.nodes) {
        CHECK(node.departures.takeList(HostList{1, {live}}, TimePoint()).empty());
    }
    for (const BackendNews &news : simulation.nodes[2].departures.takeList(HostList{2, {leaving}}, TimePoint())) {
        simulation.nodes[2].membership->spread(news);
    }
    CHECK(simulation.runUntil(
        [&] {
            return std::all_of(simulation.nodes.begin(), simulation.nodes.end(),
                               [&](const auto &node) { return node.departures.apply() == std::vector{leaving}; });
        },
        Millis(5000)));
    Departures &late = simulation.nodes[5].departures;
    late.takeList(HostList{1, {live}}, TimePoint() + Millis(5000));
    CHECK(late.apply() == std::vector{leaving});
    late.takeList(HostList{3, {live}}, TimePoint() + Millis(5000));
    CHECK(late.apply() == std::vector{live});
    CHECK_FALSE(late.hear(BackendNews{live.address, 2}, TimePoint()));
    // An older list, as a lagging replica of the platform serves it, does not count for a while.
    late.takeList(HostList{2, {leaving}}, TimePoint() + Millis(6000));
    CHECK(late.apply() == std::vector{live});
    late.takeList(HostList{2, {leaving}}, TimePoint() + Millis(5000) + Departures::UnconfirmedLifetime);
    CHECK(late.apply() == std::vector{leaving});
    Departures &reset = simulation.nodes[6].departures;
    reset.takeList(HostList{1, {live}}, TimePoint() + Departures::UnconfirmedLifetime);
    CHECK(reset.apply() == std::vector{live});
}
