#include "cyclamencross/decide/enginescheduler.h"

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
// A datagram that was not delivered within this time is lost.
constexpr Millis MessageLifetime{4000};

// Models an engine, the entries that send requests to it, and a network that reorders, duplicates and loses the
// messages to the scheduler.
class Model
{
public:
    void step(std::uint32_t choice)
    {
        const std::uint32_t argument = choice / 10;
        switch (choice % 10) {
        case 0:
        case 1:
            this->sendRequest(argument);
            break;
        case 2:
        case 3:
        case 4:
            this->deliver(argument);
            break;
        case 5:
            this->startRequest(argument);
            break;
        case 6:
            this->finishRequest(argument);
            break;
        case 7:
            this->sendReport();
            break;
        case 8:
            this->now += Millis(argument % 900);
            break;
        default:
            this->engineRequests.insert("foreign." + std::to_string(argument % 4));
        }
        this->decide();
    }

    // Empties the engine without delivering further messages. Afterwards no slot may be held and no request may wait.
    void drain()
    {
        this->engineRequests.clear();
        for (int i = 0; i < 8; ++i) {
            this->now += Millis(1000);
            this->scheduler.applyReport(this->load(), {}, this->now);
            this->decide();
        }
        RC_ASSERT(this->scheduler.load(this->now).usedSlots == 0U);
        RC_ASSERT(this->scheduler.waitingCount() == 0U);
    }

private:
    struct Release
    {
        std::string id;
        std::uint64_t sequenceNumber;
    };
    struct Report
    {
        EngineLoad load;
        std::vector<std::string> held;
    };
    struct Message
    {
        TimePoint sent;
        std::variant<SlotRequest, Release, Report> content;
    };
    struct Grant
    {
        std::uint64_t sequenceNumber;
        TimePoint at;
        bool confirmed = false;
    };

    EngineLoad load() const
    {
        return {"engine", Slots, static_cast<std::uint32_t>(this->engineRequests.size()), 0, 0, this->now};
    }

    void sendRequest(std::uint32_t argument)
    {
        SlotRequest request{
            "e.1." + std::to_string(argument % 8), "engine", "w", 1, 1, 0, Millis(argument % 500), ++this->lastNumber};
        request.priority = static_cast<std::uint8_t>(argument % 3);
        this->network.push_back({this->now, request});
    }

    void sendReport()
    {
        this->network.push_back(
            {this->now, Report{this->load(), {this->engineRequests.begin(), this->engineRequests.end()}}});
    }

    void startRequest(std::uint32_t argument)
    {
        if (!this->grants.empty() && this->engineRequests.size() < Slots) {
            this->engineRequests.insert(std::next(this->grants.begin(), argument % this->grants.size())->first);
        }
    }

    void finishRequest(std::uint32_t argument)
    {
        if (!this->engineRequests.empty()) {
            const std::string id = *std::next(this->engineRequests.begin(), argument % this->engineRequests.size());
            this->engineRequests.erase(id);
            if (this->grants.contains(id)) {
                this->network.push_back({this->now, Release{id, this->grants.at(id).sequenceNumber}});
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
        const std::uint32_t delivery = argument / 64 % 4; // 0: lost, 1: delivered and duplicated, else delivered
        if (delivery != 1) {
            this->network.erase(it);
        }
        if (delivery == 0) {
            return;
        }
        if (const auto *request = std::get_if<SlotRequest>(&content)) {
            this->scheduler.submit(*request, this->now);
        } else if (const auto *release = std::get_if<Release>(&content)) {
            this->scheduler.release(release->id, this->now, release->sequenceNumber);
            const auto grant = this->grants.find(release->id);
            if (grant != this->grants.end() && grant->second.sequenceNumber <= release->sequenceNumber) {
                this->grants.erase(grant);
                this->reportedRequests.erase(release->id);
                this->releasedAt[release->id] = this->now;
            }
        } else if (const auto *report = std::get_if<Report>(&content)) {
            this->scheduler.applyReport(report->load, report->held, this->now);
            if (report->load.updatedAt >= this->newestReport) {
                this->newestReport = report->load.updatedAt;
                this->reportedRequests = {report->held.begin(), report->held.end()};
                for (auto &[id, grant] : this->grants) {
                    grant.confirmed = grant.confirmed || this->reportedRequests.contains(id);
                }
                // The report may have been made before a release that has arrived already.
                std::erase_if(this->reportedRequests, [&](const std::string &id) {
                    const auto it = this->releasedAt.find(id);
                    return it != this->releasedAt.end() && !this->grants.contains(id)
                        && it->second + EngineScheduler::MaxReportLag >= report->load.updatedAt;
                });
            }
        }
    }

    // Counts the slots used according to the engine's newest report and the unconfirmed grants that it does not list.
    std::size_t usedSlots() const
    {
        return this->reportedRequests.size()
            + std::count_if(this->grants.begin(), this->grants.end(), [this](const auto &entry) {
                   const Grant &grant = entry.second;
                   return !this->reportedRequests.contains(entry.first) && !grant.confirmed
                       && this->now - grant.at < EngineScheduler::UnconfirmedGrantLifetime;
               });
    }

    void decide()
    {
        for (const auto &decision : this->scheduler.decide(this->now)) {
            if (!decision.grant) {
                continue;
            }
            const auto known = this->grants.find(decision.request.requestId);
            if (decision.reason == "repeated") {
                if (known != this->grants.end()) {
                    known->second.sequenceNumber =
                        std::max(known->second.sequenceNumber, decision.request.sequenceNumber);
                }
                continue;
            }
            RC_ASSERT(
                this->grantedRequests.insert({decision.request.requestId, decision.request.sequenceNumber}).second);
            RC_ASSERT(this->now - this->newestReport <= EngineScheduler::MaxReportAge);
            this->grants.insert_or_assign(decision.request.requestId,
                                          Grant{decision.request.sequenceNumber, this->now, false});
            RC_ASSERT(this->usedSlots() <= Slots);
        }
    }

    EngineScheduler scheduler{"engine"};
    TimePoint now{Millis(1000000)};
    std::uint64_t lastNumber = 0;
    std::vector<Message> network;
    std::set<std::string> engineRequests;
    std::set<std::string> reportedRequests;
    TimePoint newestReport{Millis(0)};
    std::map<std::string, Grant> grants;
    std::map<std::string, TimePoint> releasedAt;
    std::set<std::pair<std::string, std::uint64_t>> grantedRequests;
};

}

// Guards against more grants than the engine's report leaves room for, against a second grant for one slot request, and
// against slots that are never freed or requests that are never answered, when messages are reordered, duplicated or
// lost.
TEST_CASE("grants stay within the engine's report when messages are reordered, duplicated or lost")
{
    CHECK(rc::check("engine scheduler under reordered, duplicated and lost messages", [] {
        const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
            *rc::gen::inRange<std::size_t>(0, 400), rc::gen::inRange<std::uint32_t>(0, 1U << 20U));
        Model model;
        for (const std::uint32_t step : steps) {
            model.step(step);
        }
        model.drain();
    }));
}
