#include "slotclient.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/engineowner.h"

#include <algorithm>
#include <utility>

#include <boost/leaf/error.hpp>

namespace Cyclamen
{

namespace
{

constexpr int SilencesToPenalise = 2;
constexpr const char *Withdrawn = "withdrawn";
// Longer names of workspaces come from callers and would not fit a datagram; their hash serves fairness as well.
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
    std::vector<const Member *> owners = firstOwners(engine, view.members, OwnersTried);
    const TimePoint now = Clock::now();
    const std::scoped_lock lock(this->mutex);
    std::stable_partition(owners.begin(), owners.end(), [this, now](const Member *owner) {
        const auto it = this->silences.find(owner->name);
        return it == this->silences.end() || it->second.until <= now;
    });
    return owners;
}

void SlotClient::noteSilence(const std::string &owner, bool isSilent)
{
    const std::scoped_lock lock(this->mutex);
    if (!isSilent) {
        this->silences.erase(owner);
        return;
    }
    Silence &silence = this->silences[owner];
    if (++silence.times >= SilencesToPenalise) {
        silence.until = Clock::now() + SilentPenalty;
    }
}

std::optional<SlotReply> SlotClient::askOwner(const Member &owner, const SlotAsk &ask)
{
    const TimePoint began = Clock::now();
    Pending own;
    own.requestId = ask.requestId;
    own.engine = ask.engine;
    std::unique_lock lock(this->mutex);
    this->pending.emplace(ask.number, &own);
    lock.unlock();
    this->hooks.sendAsk(owner, ask);
    lock.lock();
    own.changed.wait_until(lock, began + OwnerTimeout, [&own] { return own.reply || own.queued; });
    if (!own.reply && own.queued) {
        own.changed.wait_until(lock, began + ask.maxWait + OwnerTimeout, [&own] { return own.reply.has_value(); });
    }
    this->pending.erase(ask.number);
    const bool wasQueued = own.queued;
    std::optional<SlotReply> reply = std::move(own.reply);
    lock.unlock();
    this->noteSilence(owner.name, !reply && !wasQueued);
    if (!reply || reply->reason == Withdrawn) {
        // The owner may have granted: the ask or only its reply may be lost.
        this->hooks.sendRelease(owner, {ask.requestId, ask.engine, ask.number});
    }
    return reply;
}

boost::leaf::result<SlotGrant> SlotClient::acquire(const SlotAsk &wanted)
{
    const TimePoint began = Clock::now();
    const FleetViewPtr view = this->hooks.view();
    const Backend *engine = findLiveEngine(*view, wanted.engine);
    if (engine == nullptr) {
        LogLine("slot-refuse")
            .add("request", wanted.requestId)
            .add("engine", wanted.engine)
            .add("reason", "not-live")
            .write();
        return boost::leaf::new_error(NoCapacity{wanted.engine, 0});
    }
    SlotAsk ask = wanted;
    if (ask.workspace.size() > MaxWorkspaceBytes) {
        ask.workspace = toHex(hash64(ask.workspace));
    }
    for (const Member *owner : this->ownersToTry(*engine, *view)) {
        const auto spent = std::chrono::duration_cast<Millis>(Clock::now() - began);
        ask.maxWait = std::max(Millis(0), wanted.maxWait - spent);
        ask.number = this->lastNumber.fetch_add(1) + 1;
        const auto reply = this->askOwner(*owner, ask);
        if (reply && reply->status == SlotStatus::Granted) {
            return SlotGrant{ask.requestId, ask.engine,          owner->name, reply->slots,
                             reply->tokens, reply->expectedWait, ask.number};
        }
        if (reply && reply->status == SlotStatus::Refused) {
            return boost::leaf::new_error(NoCapacity{ask.engine, reply->expectedWait.count()});
        }
        this->metrics.count("cyclamencross_owner_unanswered_total", {{"answer", reply ? "not-owner" : "none"}});
        if (Clock::now() - began > wanted.maxWait + OwnerTimeout * static_cast<int>(OwnersTried)) {
            return boost::leaf::new_error(NoCapacity{ask.engine, wanted.maxWait.count()});
        }
    }
    // No owner can be reached: the engine itself refuses what exceeds its memory.
    LogLine("slot-direct").add("request", ask.requestId).add("engine", ask.engine).add("reason", "no-owner").write();
    this->metrics.count("cyclamencross_slot_direct_total");
    return SlotGrant{ask.requestId, ask.engine, "", ask.slots, ask.tokens, Millis(0), 0};
}

void SlotClient::withdraw(const std::string &requestId, const std::string &engine)
{
    const std::scoped_lock lock(this->mutex);
    for (auto &[number, waiter] : this->pending) {
        if (waiter->requestId == requestId && waiter->engine == engine && !waiter->reply) {
            waiter->reply.emplace();
            waiter->reply->reason = Withdrawn;
            waiter->changed.notify_one();
        }
    }
}

void SlotClient::release(const SlotGrant &grant)
{
    this->withdraw(grant.requestId, grant.engine);
    const FleetViewPtr view = this->hooks.view();
    const SlotRelease release{grant.requestId, grant.engine, grant.number};
    const Member *granter = grant.owner.empty() ? nullptr : this->findMember(*view, grant.owner);
    if (granter != nullptr) {
        this->hooks.sendRelease(*granter, release);
    }
    // A new owner may have taken the request over from the engine's list, and need not wait for the next one.
    const Backend *engine = findLiveEngine(*view, grant.engine);
    const auto owners = engine == nullptr ? std::vector<const Member *>() : firstOwners(*engine, view->members, 1);
    if (!owners.empty() && owners.front() != granter) {
        this->hooks.sendRelease(*owners.front(), release);
    }
}

void SlotClient::takeReply(const SlotReply &reply)
{
    this->loads.learn(reply.load, Clock::now());
    {
        const std::scoped_lock lock(this->mutex);
        const auto it = this->pending.find(reply.number);
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
        this->hooks.sendRelease(*owner, {reply.requestId, reply.engine, reply.number});
    }
}

}
