#pragma once

#include "loadtable.h"
#include "slotrelease.h"
#include "slotreply.h"

#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/slotask.h"
#include "cyclamencross/base/slotgrant.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class Metrics;

/// Client side of slot grants: finds the owner of an engine, sends it a slot request and waits for the reply.
/// Thread-safe.
class SlotClient
{
public:
    /// An owner that has neither answered nor queued a slot request within this time is skipped.
    static constexpr Millis OwnerTimeout{20};
    static constexpr std::size_t MaxOwnersTried = 3;
    /// How long an owner is tried last after two timeouts in a row, so that one that has died, but is not yet known to
    /// be dead, does not delay each request by OwnerTimeout. A single lost datagram has no such effect.
    static constexpr Millis UnresponsivePenalty{1000};

    struct Hooks
    {
        std::function<FleetViewPtr()> view;
        std::function<void(const Member &owner, const SlotAsk &request)> sendRequest;
        std::function<void(const Member &owner, const SlotRelease &release)> sendRelease;
    };

    SlotClient(Hooks hooks, LoadTable &loads, Metrics &metrics);

    /// See GrantService::acquire().
    boost::leaf::result<SlotGrant> acquire(const SlotAsk &request);
    /// See GrantService::release(). Pending acquire() calls of the same request and engine end as refused.
    void release(const SlotGrant &grant);
    /// Handles an owner's reply. A grant that no acquire() waits for is released.
    void handleReply(const SlotReply &reply);

private:
    struct PendingRequest
    {
        std::string requestId;
        std::string engine;
        std::condition_variable changed;
        std::optional<SlotReply> reply;
        bool queued = false;
    };
    struct TimeoutRecord
    {
        int consecutive = 0;
        TimePoint penaltyUntil;
    };
    std::optional<SlotReply> requestFromOwner(const Member &owner, const SlotAsk &request);
    std::vector<const Member *> ownersToTry(const Backend &engine, const FleetView &view) const;
    void withdraw(const std::string &requestId, const std::string &engine);
    void recordOwnerResponse(const std::string &owner, bool timedOut);
    const Member *findMember(const FleetView &view, const std::string &name) const;

    Hooks hooks;
    LoadTable &loads;
    Metrics &metrics;
    std::atomic<std::uint64_t> lastNumber{0};
    mutable std::mutex mutex;
    std::map<std::uint64_t, PendingRequest *> pending;
    std::map<std::string, TimeoutRecord> timeoutRecords;
};

}
