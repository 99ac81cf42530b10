#pragma once

#include "departures.h"
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

/// Entries in one process that exchange gossip over a simulated network with a simulated clock. For tests and the
/// fleet bench.
class GossipSimulation
{
public:
    struct Faults
    {
        double loss = 0;
        double duplication = 0;
        Millis longestDelay{2};
    };
    struct Node
    {
        std::string address;
        std::unique_ptr<Membership> membership; ///< Null while the process is down.
        std::uint64_t revision = 0;
        std::vector<CrashReport> crashes;
        Departures departures;
        bool frozen = false;
    };
    /// Sees each datagram that is sent or received, for measurements.
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
        hooks.crash = [&node](const CrashReport &report) {
            const bool isNew = std::find(node.crashes.begin(), node.crashes.end(), report) == node.crashes.end();
            if (isNew) {
                node.crashes.push_back(report);
            }
            return isNew;
        };
        hooks.lift = [&node](const CrashLift &lift) {
            std::erase_if(node.crashes, [&lift](const CrashReport &c) { return c.fingerprint == lift.fingerprint; });
        };
        hooks.backend = [&node](const BackendNews &news) { return node.departures.hear(news, TimePoint()); };
        hooks.newerConfig = [this, index](const MemberRecord &peer) { this->setRevision(index, peer.configRevision); };
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
                if (node.membership && !node.frozen) {
                    const Clock::time_point begin = Clock::now();
                    node.membership->tick(this->now);
                    this->busy += Clock::now() - begin;
                }
            }
            while (!this->network.empty() && this->network.top().due < stepEnd) {
                const Flight flight = this->network.top();
                this->network.pop();
                this->now = std::max(this->now, flight.due);
                this->deliver(flight);
            }
            this->now = stepEnd;
        }
    }

    /// Runs until @p condition holds.
    /// @return the simulated time that passed, or nothing if it does not hold within @p limit.
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

    /// Returns whether every running entry sees @p state for member @p index.
    bool allSee(std::size_t index, MemberState state) const
    {
        return std::all_of(this->nodes.begin(), this->nodes.end(), [index, state](const Node &node) {
            const MemberRecord *record = node.membership ? node.membership->members().find(name(index)) : nullptr;
            return !node.membership || node.frozen || (record != nullptr && toMember(*record).state == state);
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
    std::function<bool(std::size_t from, std::size_t to)> isCut; ///< Datagrams that a partition loses.
    Observer onSend;
    Observer onReceive;
    TimePoint now{std::chrono::hours(1)};
    Clock::duration busy{0}; ///< Processing time of all entries.

private:
    struct Flight
    {
        TimePoint due;
        std::size_t to = 0;
        Datagram datagram;

        bool operator<(const Flight &other) const
        {
            return this->due > other.due;
        }
    };

    bool happens(double probability)
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
        if (target == this->byAddress.end() || (this->isCut && this->isCut(from, target->second))) {
            return;
        }
        for (int copies = this->happens(this->faults.duplication) ? 2 : 1; copies > 0; --copies) {
            if (!this->happens(this->faults.loss)) {
                const Millis delay(1 + static_cast<std::int64_t>(this->random() % this->faults.longestDelay.count()));
                this->network.push(Flight{this->now + delay, target->second, datagram});
            }
        }
    }

    void deliver(const Flight &flight)
    {
        Node &node = this->nodes[flight.to];
        if (!node.membership || node.frozen) {
            return;
        }
        const Clock::time_point begin = Clock::now();
        if (this->onReceive) {
            this->onReceive(node, flight.datagram);
        }
        node.membership->receive(flight.datagram, this->now);
        this->busy += Clock::now() - begin;
    }

    std::map<std::string, std::size_t> byAddress;
    std::priority_queue<Flight> network;
    std::uint64_t sequence = 0;
};

}
