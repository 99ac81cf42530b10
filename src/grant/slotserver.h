#pragma once

#include "enginereport.h"
#include "slotrelease.h"
#include "slotreply.h"

#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/slotask.h"
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

/// The granting side: the ledgers of the engines that this entry owns or stands in for. Runs on the control thread
/// only and never blocks.
class LedgerBook
{
public:
    /// A stand-in for an owner that does not answer keeps its ledger for this long after the last ask.
    static constexpr Millis StandInLifetime{10000};

    struct Hooks
    {
        std::function<FleetViewPtr()> view;
        /// Sends a reply to a gossip address; the empty address is this process.
        std::function<void(const std::string &address, const SlotReply &reply)> reply;
        /// Sets the engines to poll.
        std::function<void(const std::vector<Backend> &engines)> watch;
        std::function<void(const EngineLoad &load)> publish;
        /// Returns whether a request's entry incarnation is dead.
        std::function<bool(const std::string &requestId, const FleetView &view)> isDead;
    };

    LedgerBook(Hooks hooks, Metrics &metrics);

    void takeAsk(const SlotAsk &ask, const std::string &replyAddress, TimePoint now);
    void takeRelease(const SlotRelease &release, TimePoint now);
    void takeReport(const EngineReport &report, TimePoint now);
    /// Grants nothing on an engine that refuses connections, until it is read again.
    void takeUnreachable(const std::string &engine, TimePoint now);
    /// Follows changes of the fleet, forgets the dead, and ends waits that are over.
    void tick(TimePoint now);
    /// Decides where a wait ends or prefill room comes free by now.
    void wake(TimePoint now);
    /// Returns when wake() must be called next, if anyone waits.
    std::optional<TimePoint> nextWake(TimePoint now) const;

private:
    struct Record
    {
        EngineScheduler scheduler;
        Backend engine;
        bool owned = false;
        TimePoint lastAsk;
        std::map<std::string, std::string> askers; // reply addresses by request id
    };
    Record *findOrStandIn(const std::string &engine, TimePoint now);
    void follow(const FleetView &view);
    void watchAll();
    void settle(Record &record, TimePoint now);
    void log(const Record &record, const EngineScheduler::Decision &decision, const EngineLoad &load) const;

    Hooks hooks;
    Metrics &metrics;
    FleetViewPtr followed;
    std::uint64_t fleetHash = 0;
    std::map<std::string, Record> records;
};

}
