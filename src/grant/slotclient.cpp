#include "slotclient.h"

#include "cyclamencross/base/errors.h"
#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/engineowner.h"
#include "cyclamencross/decide/enginescheduler.h"

#include <algorithm>
#include <utility>

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

namespace
{

constexpr int TimeoutsToPenalize = 2;
constexpr const char *WithdrawnReason = "withdrawn";
// Workspace names come from callers, and a long one would not fit a datagram. A longer one is replaced by its hash,
// which serves fair queuing just as well.
constexpr std::size_t MaxWorkspaceBytes = 64;

const Backend *findLiveEngine(const FleetView &view, const std::string &address)
{
    const auto it = std::lower_bound(view.backends.begin(), view.backends.end(), address,
                                     [](const Backend &other, const std::string &key) { return other.address < key; });
    const bool isLive = it != view.backends.end() && it->address == address && it->kind == BackendKind::Engine
        && it->state == BackendState::Live;
    return isLive ? &*it : nullptr;
}

}

SlotClient::SlotClient(Hooks hooks, LoadTable &loads, Metrics &metrics)
    : hooks(std::move(hooks))
    , loads(loads)
    , metrics(metrics)
{
}

const Member *SlotClient::findMember(const FleetView &view, const std::string &name) const
{
    const auto it = std::find_if(view.members.begin(), view.members.end(),
                                 [&name](const Member &member) { return member.name == name; });
    return it == view.members.end() ? nullptr : &*it;
}

std::vector<const Member *> SlotClient::ownersToTry(const Backend &engine, const FleetView &view) const
{
    std::vector<const Member *> owners = firstOwners(engine, view.members, MaxOwnersTried);
    const TimePoint now = Clock::now();
    const std::scoped_lock lock(this->mutex);
    std::stable_partition(owners.begin(), owners.end(), [this, now](const Member *owner) {
        const auto it = this->timeoutRecords.find(owner->name);
        return it == this->timeoutRecords.end() || it->second.penaltyUntil <= now;
    });
    return owners;
}

void SlotClient::recordOwnerResponse(const std::string &owner, bool timedOut)
{
    const std::scoped_lock lock(this->mutex);
    if (!timedOut) {
        this->timeoutRecords.erase(owner);
        return;
    }
    TimeoutRecord &record = this->timeoutRecords[owner];
    if (++record.consecutive >= TimeoutsToPenalize) {
        record.penaltyUntil = Clock::now() + UnresponsivePenalty;
    }
}

std::optional<SlotReply> SlotClient::requestFromOwner(const Member &owner, const SlotRequest &request)
{
    const TimePoint start = Clock::now();
    PendingRequest pendingRequest;
    pendingRequest.requestId = request.requestId;
    pendingRequest.engine = request.engine;
    std::unique_lock lock(this->mutex);
    this->pending.emplace(request.sequenceNumber, &pendingRequest);
    lock.unlock();
    this->hooks.sendRequest(owner, request);
    lock.lock();
    pendingRequest.changed.wait_until(lock, start + OwnerTimeout,
                                      [&pendingRequest] { return pendingRequest.reply || pendingRequest.queued; });
    if (!pendingRequest.reply && pendingRequest.queued) {
        pendingRequest.changed.wait_until(lock, start + request.maxWait + OwnerTimeout,
                                          [&pendingRequest] { return pendingRequest.reply.has_value(); });
    }
    this->pending.erase(request.sequenceNumber);
    const bool wasQueued = pendingRequest.queued;
    std::optional<SlotReply> reply = std::move(pendingRequest.reply);
    lock.unlock();
    this->recordOwnerResponse(owner.name, !reply && !wasQueued);
    if (!reply || reply->reason == WithdrawnReason) {
        // The request or its reply was lost, or the request was withdrawn. The owner may have granted a slot.
        this->hooks.sendRelease(owner, {request.requestId, request.engine, request.sequenceNumber});
    }
    return reply;
}

boost::leaf::result<SlotGrant> SlotClient::acquire(const SlotRequest &originalRequest)
{
    const TimePoint start = Clock::now();
    const FleetViewPtr view = this->hooks.view();
    const Backend *engine = findLiveEngine(*view, originalRequest.engine);
    if (engine == nullptr) {
        LogLine("slot-refuse")
            .add("request", originalRequest.requestId)
            .add("engine", originalRequest.engine)
            .add("reason", "not-live")
            .write();
        return boost::leaf::new_error(NoCapacity{originalRequest.engine, 0, true});
    }
    SlotRequest request = originalRequest;
    if (request.workspace.size() > MaxWorkspaceBytes) {
        request.workspace = toHex(hash64(request.workspace));
    }
    for (const Member *owner : this->ownersToTry(*engine, *view)) {
        const auto elapsed = std::chrono::duration_cast<Millis>(Clock::now() - start);
        request.maxWait = std::max(Millis(0), originalRequest.maxWait - elapsed);
        request.sequenceNumber = this->lastNumber.fetch_add(1) + 1;
        const auto reply = this->requestFromOwner(*owner, request);
        if (reply && reply->status == SlotStatus::Granted) {
            return SlotGrant{request.requestId, request.engine,      owner->name,           reply->slots,
                             reply->tokens,     reply->expectedWait, request.sequenceNumber};
        }
        if (reply && reply->status == SlotStatus::Refused) {
            const bool isEngineOut = reply->reason == EngineScheduler::NoFreshReportReason
                || reply->reason == EngineScheduler::LeavingReason;
            return boost::leaf::new_error(NoCapacity{request.engine, reply->expectedWait.count(), isEngineOut});
        }
        this->metrics.count("cyclamencross_owner_unanswered_total", {{"answer", reply ? "not-owner" : "none"}});
        if (Clock::now() - start > originalRequest.maxWait + OwnerTimeout * static_cast<int>(MaxOwnersTried)) {
            return boost::leaf::new_error(NoCapacity{request.engine, originalRequest.maxWait.count()});
        }
    }
    // No owner can be reached. The engine itself refuses requests that exceed its memory.
    LogLine("slot-direct")
        .add("request", request.requestId)
        .add("engine", request.engine)
        .add("reason", "no-owner")
        .write();
    this->metrics.count("cyclamencross_slot_direct_total");
    return SlotGrant{request.requestId, request.engine, "", request.slots, request.tokens, Millis(0), 0};
}

void SlotClient::withdraw(const std::string &requestId, const std::string &engine)
{
    const std::scoped_lock lock(this->mutex);
    for (auto &[sequenceNumber, pendingRequest] : this->pending) {
        if (pendingRequest->requestId == requestId && pendingRequest->engine == engine && !pendingRequest->reply) {
            pendingRequest->reply.emplace();
            pendingRequest->reply->reason = WithdrawnReason;
            pendingRequest->changed.notify_one();
        }
    }
}

void SlotClient::release(const SlotGrant &grant)
{
    this->withdraw(grant.requestId, grant.engine);
    const FleetViewPtr view = this->hooks.view();
    const SlotRelease release{grant.requestId, grant.engine, grant.sequenceNumber};
    const Member *grantingOwner = grant.owner.empty() ? nullptr : this->findMember(*view, grant.owner);
    if (grantingOwner != nullptr) {
        this->hooks.sendRelease(*grantingOwner, release);
    }
    // A new owner may have found the request in the engine's list. The release spares it the wait for the next list.
    const Backend *engine = findLiveEngine(*view, grant.engine);
    const auto owners = engine == nullptr ? std::vector<const Member *>() : firstOwners(*engine, view->members, 1);
    if (!owners.empty() && owners.front() != grantingOwner) {
        this->hooks.sendRelease(*owners.front(), release);
    }
}

void SlotClient::handleReply(const SlotReply &reply)
{
    this->loads.update(reply.load, Clock::now());
    {
        const std::scoped_lock lock(this->mutex);
        const auto it = this->pending.find(reply.sequenceNumber);
        if (it != this->pending.end()) {
            if (reply.status == SlotStatus::Queued) {
                it->second->queued = true;
            } else if (!it->second->reply) {
                it->second->reply = reply;
            }
            it->second->changed.notify_one();
            return;
        }
    }
    if (reply.status != SlotStatus::Granted) {
        return;
    }
    const FleetViewPtr view = this->hooks.view();
    const Member *owner = this->findMember(*view, reply.owner);
    if (owner != nullptr) {
        this->hooks.sendRelease(*owner, {reply.requestId, reply.engine, reply.sequenceNumber});
    }
}

}
