#include "cyclamencross/decide/engineledger.h"

#include <algorithm>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Cyclamen;

namespace
{

constexpr std::uint32_t Slots = 3;
// Datagrams arrive within this time or never.
constexpr Millis MessageLifetime{4000};

// An engine, its callers and a network that reorders, duplicates and loses their messages to the ledger.
class Model
{
public:
    void step(std::uint32_t choice)
    {
        const std::uint32_t argument = choice / 10;
        switch (choice % 10) {
        case 0:
        case 1:
            this->sendAsk(argument);
            break;
        case 2:
        case 3:
        case 4:
            this->deliver(argument);
            break;
        case 5:
            this->start(argument);
            break;
        case 6:
            this->finish(argument);
            break;
        case 7:
            this->sendReport();
            break;
        case 8:
            this->now += Millis(argument % 900);
            break;
        default:
            this->engine.insert("foreign." + std::to_string(argument % 4));
        }
        this->decide();
    }

    // The network falls silent and the engine becomes empty: no room may stay taken and no ask may stay undecided.
    void settle()
    {
        this->engine.clear();
        for (int i = 0; i < 8; ++i) {
            this->now += Millis(1000);
            this->ledger.report(this->load(), {}, this->now);
            this->decide();
        }
        RC_ASSERT(this->ledger.load(this->now).held == 0U);
        RC_ASSERT(this->ledger.waitingCount() == 0U);
    }

private:
    struct Release
    {
        std::string id;
        std::uint64_t number;
    };
    struct Report
    {
        EngineLoad load;
        std::vector<std::string> held;
    };
    struct Message
    {
        TimePoint sent;
        std::variant<SlotAsk, Release, Report> content;
    };
    struct Grant
    {
        std::uint64_t number;
        TimePoint at;
        bool confirmed = false;
    };

    EngineLoad load() const
    {
        return {"engine", Slots, static_cast<std::uint32_t>(this->engine.size()), 0, 0, this->now};
    }

    void sendAsk(std::uint32_t argument)
    {
        SlotAsk ask{
            "e.1." + std::to_string(argument % 8), "engine", "w", 1, 1, 0, Millis(argument % 500), ++this->lastNumber};
        ask.priority = static_cast<std::uint8_t>(argument % 3);
        this->network.push_back({this->now, ask});
    }

    void sendReport()
    {
        this->network.push_back({this->now, Report{this->load(), {this->engine.begin(), this->engine.end()}}});
    }

    void start(std::uint32_t argument)
    {
        if (!this->grants.empty() && this->engine.size() < Slots) {
            this->engine.insert(std::next(this->grants.begin(), argument % this->grants.size())->first);
        }
    }

    void finish(std::uint32_t argument)
    {
        if (!this->engine.empty()) {
            const std::string id = *std::next(this->engine.begin(), argument % this->engine.size());
            this->engine.erase(id);
            if (this->grants.contains(id)) {
                this->network.push_back({this->now, Release{id, this->grants.at(id).number}});
            }
        }
    }

    void deliver(std::uint32_t argument)
    {
        std::erase_if(this->network, [this](const Message &m) { return this->now - m.sent > MessageLifetime; });
        if (this->network.empty()) {
            return;
        }
        const auto it = this->network.begin() + argument % this->network.size();
        const auto content = it->content;
        const std::uint32_t fate = argument / 64 % 4; // 0: lost, 1: delivered and copied, else delivered
        if (fate != 1) {
            this->network.erase(it);
        }
        if (fate == 0) {
            return;
        }
        if (const auto *ask = std::get_if<SlotAsk>(&content)) {
            this->ledger.ask(*ask, this->now);
        } else if (const auto *release = std::get_if<Release>(&content)) {
            this->ledger.release(release->id, this->now, release->number);
            const auto grant = this->grants.find(release->id);
            if (grant != this->grants.end() && grant->second.number <= release->number) {
                this->grants.erase(grant);
                this->listed.erase(release->id);
                this->releasedAt[release->id] = this->now;
            }
        } else if (const auto *report = std::get_if<Report>(&content)) {
            this->ledger.report(report->load, report->held, this->now);
            if (report->load.known >= this->newestReport) {
                this->newestReport = report->load.known;
                this->listed = {report->held.begin(), report->held.end()};
                for (auto &[id, grant] : this->grants) {
                    grant.confirmed = grant.confirmed || this->listed.contains(id);
                }
                // The report may have been made before a release that has arrived already.
                std::erase_if(this->listed, [&](const std::string &id) {
                    const auto it = this->releasedAt.find(id);
                    return it != this->releasedAt.end() && !this->grants.contains(id)
                        && it->second + EngineLedger::ReportLag >= report->load.known;
                });
            }
        }
    }

    // Counts what the engine's newest report shows and what is granted beyond it.
    std::size_t taken() const
    {
        return this->listed.size() + std::count_if(this->grants.begin(), this->grants.end(), [this](const auto &entry) {
                   const Grant &grant = entry.second;
                   return !this->listed.contains(entry.first) && !grant.confirmed
                       && this->now - grant.at < EngineLedger::UnconfirmedLifetime;
               });
    }

    void decide()
    {
        for (const auto &decision : this->ledger.decide(this->now)) {
            if (!decision.grant) {
                continue;
            }
            const auto known = this->grants.find(decision.ask.requestId);
            if (decision.reason == "repeated") {
                if (known != this->grants.end()) {
                    known->second.number = std::max(known->second.number, decision.ask.number);
                }
                continue;
            }
            RC_ASSERT(this->granted.insert({decision.ask.requestId, decision.ask.number}).second);
            RC_ASSERT(this->now - this->newestReport <= EngineLedger::StaleAfter);
            this->grants.insert_or_assign(decision.ask.requestId, Grant{decision.ask.number, this->now, false});
            RC_ASSERT(this->taken() <= Slots);
        }
    }

    EngineLedger ledger{"engine"};
    TimePoint now{Millis(1000000)};
    std::uint64_t lastNumber = 0;
    std::vector<Message> network;
    std::set<std::string> engine;
    std::set<std::string> listed;
    TimePoint newestReport{Millis(0)};
    std::map<std::string, Grant> grants;
    std::map<std::string, TimePoint> releasedAt;
    std::set<std::pair<std::string, std::uint64_t>> granted;
};

}

// Guards against slots granted beyond the engine's own report, against a second grant for one ask, and against room
// that stays taken or asks that stay unanswered, when messages are reordered, duplicated and lost.
TEST_CASE("the ledger stays within the engine's report whatever the network does")
{
    CHECK(rc::check("engine ledger under reordered, duplicated and lost messages", [] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            *rc::gen::inRange<std::size_t>(0, 400), rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
        Model model;
        for (const std::uint32_t step : steps) {
            model.step(step);
        }
        model.settle();
    }));
}
