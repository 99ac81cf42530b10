#pragma once

#include "enginereport.h"
#include "slotrelease.h"
#include "slotreply.h"

#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/slotrequest.h"
#include "cyclamencross/decide/enginescheduler.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

class Metrics;

/// Server side of slot grants: the schedulers of the engines that this entry owns, or for which it is the fallback
/// owner because their owner does not answer. Not thread-safe; runs on the control thread only and never blocks.
class SlotServer
{
public:
    /// How long a fallback owner keeps the scheduler of an engine after the last slot request.
    static constexpr Millis FallbackLifetime{10000};

    struct Hooks
    {
        std::function<FleetViewPtr()> view;
        /// Sends a reply to a gossip address. An empty address stands for this process.
        std::function<void(const std::string &address, const SlotReply &reply)> reply;
        /// Sets the engines to poll.
        std::function<void(const std::vector<Backend> &engines)> setPolledEngines;
        /// Called with each new load of an engine, including grants and waiting slot requests.
        std::function<void(const EngineLoad &load)> publishLoad;
        /// Returns whether the entry incarnation that created a request is dead.
        std::function<bool(const std::string &requestId, const FleetView &view)> isDead;
    };

    SlotServer(Hooks hooks, Metrics &metrics);

    void handleSlotRequest(const SlotRequest &request, const std::string &replyAddress, TimePoint now);
    void handleRelease(const SlotRelease &release, TimePoint now);
    void handleReport(const EngineReport &report, TimePoint now);
    /// Records that @p engine refuses connections: nothing is granted on it until its next full report.
    void handleUnreachable(const std::string &engine, TimePoint now);
    /// Applies changes of the fleet, drops the slot requests and unconfirmed grants of dead entries, and refuses
    /// requests whose wait is over. Must be called periodically.
    void tick(TimePoint now);
    /// Makes the decisions that are due at @p now because a wait is over or prefill capacity is free.
    void processDeadlines(TimePoint now);
    /// Returns when processDeadlines() must be called next; nothing if no request waits.
    std::optional<TimePoint> nextDeadline(TimePoint now) const;

private:
    struct EngineRecord
    {
        EngineScheduler scheduler;
        Backend engine;
        bool owned = false;
        TimePoint lastRequest;
        std::map<std::string, std::string> replyAddresses; // by id of the waiting request
    };
    EngineRecord *findOrCreate(const std::string &engine, TimePoint now);
    void applyView(const FleetView &view);
    void updatePolledEngines();
    void processDecisions(EngineRecord &record, TimePoint now);
    void logDecision(const EngineRecord &record, const EngineScheduler::Decision &decision,
                     const EngineLoad &load) const;

    Hooks hooks;
    Metrics &metrics;
    FleetViewPtr lastView;
    std::uint64_t ownershipHash = 0;
    std::map<std::string, EngineRecord> records;
};

}
