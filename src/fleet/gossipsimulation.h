#pragma once

#include "departuretracker.h"
#include "membership.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Simulates entries that gossip over an unreliable network, in one process and with a simulated clock. Used by tests
/// and by fleetbench.
class GossipSimulation
{
public:
    /// Faults of the simulated network.
    struct Faults
    {
        double loss = 0; ///< Probability that a datagram is lost.
        double duplication = 0; ///< Probability that a datagram is sent twice.
        Millis longestDelay{2};
    };
    struct Node
    {
        std::string address;
        std::unique_ptr<Membership> membership; ///< Null while the process is down.
        std::uint64_t revision = 0;
        std::vector<CrashReport> crashes;
        DepartureTracker departures;
        bool paused = false; ///< Neither runs nor receives, as after SIGSTOP.
    };
    /// Called with each datagram that is sent or received.
    using Observer = std::function<void(const Node &node, const Datagram &datagram)>;

    static constexpr Millis Step{100};

    GossipSimulation(std::size_t size, std::uint64_t seed)
        : random(seed)
        , nodes(size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            this->nodes[i].address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1) + ":7000";
            this->byAddress[this->nodes[i].address] = i;
        }
    }

    static std::string name(std::size_t index)
    {
        const std::string number = std::to_string(index);
        return "entry-" + std::string(4 - number.size(), '0') + number;
    }

    void start(std::size_t index, std::uint64_t incarnation)
    {
        Node &node = this->nodes[index];
        Settings settings;
        settings.name = name(index);
        settings.joinAddresses = {this->nodes[0].address, this->nodes[1 % this->nodes.size()].address};
        Member self;
        self.name = settings.name;
        self.incarnation = incarnation;
        self.callerAddress = self.adminAddress = self.gossipAddress = node.address;
        self.zone = "zone-" + std::to_string(index % 13);
        self.region = "region-" + std::to_string(index % 6);
        Membership::Hooks hooks;
        hooks.send = [this, index, incarnation](const std::string &to, DatagramKind kind, const std::string &payload) {
            this->send(index, incarnation, to, kind, payload);
        };
        hooks.onCrash = [&node](const CrashReport &report) {
            const bool isNew = std::find(node.crashes.begin(), node.crashes.end(), report) == node.crashes.end();
            if (isNew) {
                node.crashes.push_back(report);
            }
            return isNew;
        };
        hooks.onCrashLift = [&node](const CrashLift &lift) {
            std::erase_if(node.crashes, [&lift](const CrashReport &c) { return c.fingerprint == lift.fingerprint; });
        };
        hooks.onBackendDeparture = [&node](const BackendDeparture &departure) {
            return node.departures.record(departure, TimePoint());
        };
        hooks.onNewerConfig = [this, index](const MemberRecord &peer) {
            this->setRevision(index, peer.configRevision);
        };
        node.membership = std::make_unique<Membership>(settings, self, std::move(hooks), this->random());
    }

    void startAll()
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            this->start(i, 1);
        }
    }

    void setRevision(std::size_t index, std::uint64_t revision)
    {
        this->nodes[index].revision = std::max(this->nodes[index].revision, revision);
        this->nodes[index].membership->setConfigRevision(this->nodes[index].revision);
    }

    void run(Millis duration)
    {
        for (const TimePoint end = this->now + duration; this->now < end;) {
            const TimePoint stepEnd = this->now + Step;
            for (Node &node : this->nodes) {
                if (node.membership && !node.paused) {
                    const Clock::time_point begin = Clock::now();
                    node.membership->tick(this->now);
                    this->processingTime += Clock::now() - begin;
                }
            }
            while (!this->network.empty() && this->network.top().due < stepEnd) {
                const InFlightDatagram flight = this->network.top();
                this->network.pop();
                this->now = std::max(this->now, flight.due);
                this->deliver(flight);
            }
            this->now = stepEnd;
        }
    }

    /// Runs until @p condition holds.
    /// @return the simulated time until then, or nothing if it does not hold within @p limit.
    std::optional<Millis> runUntil(const std::function<bool()> &condition, Millis limit)
    {
        for (Millis passed{0}; passed <= limit; passed += Step) {
            if (condition()) {
                return passed;
            }
            this->run(Step);
        }
        return std::nullopt;
    }

    /// Returns whether member @p index has @p state in the member lists of all running entries.
    bool allSee(std::size_t index, MemberState state) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [index, state](const Node &node) {
            const MemberRecord *record = node.membership ? node.membership->members().find(name(index)) : nullptr;
            return !node.membership || node.paused || (record != nullptr && toMember(*record).state == state);
        });
    }

    bool allAlive() const
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->allSee(i, MemberState::Alive)) {
                return false;
            }
        }
        return true;
    }

    std::mt19937_64 random;
    std::vector<Node> nodes;
    Faults faults;
    /// Returns whether a partition drops datagrams between these entries; unset: no partition.
    std::function<bool(std::size_t from, std::size_t to)> isPartitioned;
    Observer onSend;
    Observer onReceive;
    TimePoint now{std::chrono::hours(1)};
    Clock::duration processingTime{0}; ///< Total processing time of all entries.

private:
    struct InFlightDatagram
    {
        TimePoint due;
        std::size_t to = 0;
        Datagram datagram;

        bool operator<(const InFlightDatagram &other) const
        {
            return this->due > other.due;
        }
    };

    bool randomlyTrue(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
    }

    void send(std::size_t from, std::uint64_t incarnation, const std::string &to, DatagramKind kind,
              const std::string &payload)
    {
        const Datagram datagram{name(from), incarnation, ++this->sequence, kind, payload, this->nodes[from].address};
        if (this->onSend) {
            this->onSend(this->nodes[from], datagram);
        }
        const auto target = this->byAddress.find(to);
        if (target == this->byAddress.end() || (this->isPartitioned && this->isPartitioned(from, target->second))) {
            return;
        }
        for (int copies = this->randomlyTrue(this->faults.duplication) ? 2 : 1; copies > 0; --copies) {
            if (!this->randomlyTrue(this->faults.loss)) {
                const Millis delay(1 + static_cast<std::int64_t>(this->random() % this->faults.longestDelay.count()));
                this->network.push(InFlightDatagram{this->now + delay, target->second, datagram});
            }
        }
    }

    void deliver(const InFlightDatagram &flight)
    {
        Node &node = this->nodes[flight.to];
        if (!node.membership || node.paused) {
            return;
        }
        const Clock::time_point begin = Clock::now();
        if (this->onReceive) {
            this->onReceive(node, flight.datagram);
        }
        node.membership->receive(flight.datagram, this->now);
        this->processingTime += Clock::now() - begin;
    }

    std::map<std::string, std::size_t> byAddress;
    std::priority_queue<InFlightDatagram> network;
    std::uint64_t sequence = 0;
};

}
