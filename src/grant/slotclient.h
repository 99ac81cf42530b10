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

/// The asking side of slot grants: finds the owner of an engine and waits for its reply. Thread-safe.
class SlotClient
{
public:
    /// An owner that has not even queued an ask by then is passed over.
    static constexpr Millis OwnerTimeout{20};
    static constexpr std::size_t OwnersTried = 3;
    /// An owner that was silent twice in a row is tried last for this long, so that one that has died, but is not yet
    /// known to be dead, does not cost OwnerTimeout per request. A single lost datagram has no such effect.
    static constexpr Millis SilentPenalty{1000};

    struct Hooks
    {
        std::function<FleetViewPtr()> view;
        std::function<void(const Member &owner, const SlotAsk &ask)> sendAsk;
        std::function<void(const Member &owner, const SlotRelease &release)> sendRelease;
    };

    SlotClient(Hooks hooks, LoadTable &loads, Metrics &metrics);

    /// See GrantService::acquire().
    boost::leaf::result<SlotGrant> acquire(const SlotAsk &ask);
    /// See GrantService::release(). Ends acquire() calls of the same request and engine as refused.
    void release(const SlotGrant &grant);
    /// Takes an owner's reply. A grant that no one waits for is given back.
    void takeReply(const SlotReply &reply);

private:
    struct Pending
    {
        std::string requestId;
        std::string engine;
        std::condition_variable changed;
        std::optional<SlotReply> reply;
        bool queued = false;
    };
    struct Silence
    {
        int times = 0;
        TimePoint until;
    };
    std::optional<SlotReply> askOwner(const Member &owner, const SlotAsk &ask);
    std::vector<const Member *> ownersToTry(const Backend &engine, const FleetView &view) const;
    void withdraw(const std::string &requestId, const std::string &engine);
    void noteSilence(const std::string &owner, bool isSilent);
    const Member *findMember(const FleetView &view, const std::string &name) const;

    Hooks hooks;
    LoadTable &loads;
    Metrics &metrics;
    std::atomic<std::uint64_t> lastNumber{0};
    mutable std::mutex mutex;
    std::map<std::uint64_t, Pending *> pending;
    std::map<std::string, Silence> silences;
};

}
