#include "cyclamencross/decide/enginescheduler.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Cyclamen
{

namespace
{

// Weight of a new hold time in the moving average. One eighth follows a change of load within about ten requests.
constexpr double HoldTimeWeight = 0.125;

Clock::duration fromMillis(double millis)
{
    // One hour exceeds any deadline; the bound keeps the conversion within range.
    const std::chrono::duration<double, std::milli> bounded(std::clamp(millis, 0.0, 3600000.0));
    return std::chrono::duration_cast<Clock::duration>(bounded);
}

double toMillis(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

template<typename Number>
Number saturatingSubtract(Number total, Number part)
{
    return total > part ? total - part : 0;
}

}

EngineScheduler::EngineScheduler(std::string engine)
    : engine(std::move(engine))
{
}

bool EngineScheduler::canGrant(TimePoint now) const
{
    return this->closeReason.empty() && this->hasFullReport && now - this->reported.updatedAt <= MaxReportAge;
}

bool EngineScheduler::acceptLoad(const EngineLoad &load)
{
    const bool isFirst = this->reported.updatedAt == TimePoint();
    if (!isFirst && load.updatedAt < this->reported.updatedAt) {
        return false;
    }
    if (isFirst || load.updatedAt - this->reported.updatedAt > MaxReportAge) {
        this->hasFullReport = false;
    }
    this->reported = load;
    return true;
}

void EngineScheduler::estimateUntracked()
{
    std::uint64_t accountedSlots = this->trackedSlots;
    std::uint64_t accountedTokens = this->trackedTokens;
    for (const auto &[requestId, release] : this->released) {
        if (release.releasedAt + MaxReportLag >= this->reported.updatedAt) {
            accountedSlots += release.slots;
            accountedTokens += release.tokens;
        }
    }
    this->untrackedSlots = saturatingSubtract<std::uint64_t>(this->reported.usedSlots, accountedSlots);
    this->untrackedTokens = saturatingSubtract(this->reported.queuedTokens, accountedTokens);
    const auto tracked = std::min(this->reported.queuedTokens, this->trackedTokens);
    this->prefillBusyUntil =
        std::max(this->prefillBusyUntil, this->reported.updatedAt + this->prefillTime(static_cast<double>(tracked)));
}

void EngineScheduler::applyLoad(const EngineLoad &load, TimePoint now)
{
    this->expire(now);
    if (this->acceptLoad(load)) {
        this->estimateUntracked();
    }
}

void EngineScheduler::applyReport(const EngineLoad &load, const std::vector<std::string> &heldIds, TimePoint now)
{
    this->expire(now);
    if (!this->acceptLoad(load)) {
        return;
    }
    this->hasFullReport = true;
    this->isUnreachable = false;
    const std::set<std::string> listed(heldIds.begin(), heldIds.end());
    for (auto it = this->activeGrants.begin(); it != this->activeGrants.end();) {
        const bool isListed = listed.contains(it->first);
        it->second.confirmed = it->second.confirmed || isListed;
        if (it->second.confirmed && !isListed) {
            // The engine has finished the request; its release is late or lost.
            this->recordRelease(it->second.grant, now);
            it = this->removeGrant(it);
        } else {
            ++it;
        }
    }
    for (const std::string &requestId : listed) {
        const auto release = this->released.find(requestId);
        const bool isBeingReleased = release != this->released.end() && release->second.byCaller
            && release->second.releasedAt + MaxReportLag >= load.updatedAt;
        if (!isBeingReleased && !this->activeGrants.contains(requestId)) {
            this->addReportedRequest(requestId, now);
        }
    }
    this->estimateUntracked();
}

void EngineScheduler::addReportedRequest(const std::string &requestId, TimePoint now)
{
    SlotGrant grant{requestId, this->engine, "", 1, 0, Millis(0), 0};
    // If this request was granted here before, neither a late release of an earlier slot request nor a late duplicate
    // of a release that was already applied may free it: the engine holds the request in spite of that release.
    const auto record = this->released.find(requestId);
    if (record != this->released.end()) {
        const std::uint64_t coveredNumber = record->second.coveredNumber;
        grant.sequenceNumber = std::max(record->second.sequenceNumber, coveredNumber > 0 ? coveredNumber + 1 : 0);
    }
    // The engine already holds this request. If it also waits in the queue, it must not be granted a second time.
    for (const auto &entry : this->waiting.removeIf(
             [&requestId](const FairQueue::Entry &other) { return other.request.requestId == requestId; })) {
        grant.sequenceNumber = entry.request.sequenceNumber;
        this->readyDecisions.push_back({entry.request, grant, Millis(0), "repeated"});
    }
    this->addGrant(grant, now, true);
}

EngineScheduler::Release &EngineScheduler::recordRelease(const SlotGrant &grant, TimePoint now)
{
    const auto [record, isNew] = this->released.emplace(grant.requestId, Release{});
    if (isNew) {
        this->releaseOrder.push_back(grant.requestId);
    }
    Release &release = record->second;
    release = {now,         std::max(release.sequenceNumber, grant.sequenceNumber),
               grant.slots, grant.tokens,
               false,       release.coveredNumber};
    return release;
}

void EngineScheduler::setUnreachable()
{
    this->hasFullReport = false;
    this->isUnreachable = true;
}

void EngineScheduler::addGrant(const SlotGrant &grant, TimePoint now, bool confirmed)
{
    this->activeGrants.emplace(grant.requestId, ActiveGrant{grant, now, confirmed});
    this->trackedSlots += grant.slots;
    this->trackedTokens += grant.tokens;
}

EngineScheduler::GrantMap::iterator EngineScheduler::removeGrant(GrantMap::iterator it)
{
    this->trackedSlots -= it->second.grant.slots;
    this->trackedTokens -= it->second.grant.tokens;
    return this->activeGrants.erase(it);
}

void EngineScheduler::expire(TimePoint now)
{
    for (auto it = this->activeGrants.begin(); it != this->activeGrants.end();) {
        if (!it->second.confirmed && now - it->second.grantedAt >= UnconfirmedGrantLifetime) {
            this->recordRelease(it->second.grant, now);
            it = this->removeGrant(it);
        } else {
            ++it;
        }
    }
    while (!this->releaseOrder.empty()) {
        const auto oldest = this->released.find(this->releaseOrder.front());
        if (now - oldest->second.releasedAt < ReleaseRetention && this->released.size() <= MaxReleased) {
            break;
        }
        this->released.erase(oldest);
        this->releaseOrder.pop_front();
    }
}

void EngineScheduler::submit(const SlotRequest &request, TimePoint now)
{
    this->expire(now);
    const auto existing = this->activeGrants.find(request.requestId);
    if (existing != this->activeGrants.end()) {
        existing->second.grant.sequenceNumber = std::max(existing->second.grant.sequenceNumber, request.sequenceNumber);
        this->readyDecisions.push_back(
            {request, existing->second.grant, existing->second.grant.expectedWait, "repeated"});
        return;
    }
    const auto release = this->released.find(request.requestId);
    if (release != this->released.end() && request.sequenceNumber <= release->second.sequenceNumber) {
        this->readyDecisions.push_back(this->refuse(request, {}, "released"));
    } else if (!this->closeReason.empty()) {
        this->readyDecisions.push_back(this->refuse(request, {}, this->closeReason));
    } else if (this->waiting.size() >= MaxWaiting && this->waiting.find(request.requestId) == nullptr) {
        this->readyDecisions.push_back(this->refuse(request, {}, "queue-full"));
    } else {
        this->waiting.add(request, now);
    }
}

void EngineScheduler::release(const std::string &requestId, TimePoint now, std::uint64_t sequenceNumber)
{
    const auto isCovered = [sequenceNumber](std::uint64_t other) {
        return sequenceNumber == 0 || other <= sequenceNumber;
    };
    this->waiting.removeIf([&](const FairQueue::Entry &entry) {
        return entry.request.requestId == requestId && isCovered(entry.request.sequenceNumber);
    });
    const auto it = this->activeGrants.find(requestId);
    if (it != this->activeGrants.end() && isCovered(it->second.grant.sequenceNumber)) {
        const ActiveGrant activeGrant = it->second;
        this->removeGrant(it);
        this->recordRelease(activeGrant.grant, now).byCaller = true;
        if (activeGrant.grant.slots > 0) {
            const double holdMs = toMillis(now - activeGrant.grantedAt);
            this->meanHoldMs =
                this->meanHoldMs > 0 ? this->meanHoldMs + HoldTimeWeight * (holdMs - this->meanHoldMs) : holdMs;
        }
    } else if (!this->released.contains(requestId)) {
        // There is no grant to release. The record only prevents a late copy of the slot request from being granted.
        this->recordRelease({requestId, this->engine, "", 0, 0, Millis(0), sequenceNumber}, now).byCaller = true;
    }
    Release &record = this->released.at(requestId);
    record.sequenceNumber = std::max(record.sequenceNumber, sequenceNumber);
    record.coveredNumber = std::max(record.coveredNumber, sequenceNumber);
    this->expire(now);
}

void EngineScheduler::dropDead(const std::function<bool(const std::string &)> &isDead, TimePoint now)
{
    this->expire(now);
    this->waiting.removeIf([&isDead](const FairQueue::Entry &entry) { return isDead(entry.request.requestId); });
    for (auto it = this->activeGrants.begin(); it != this->activeGrants.end();) {
        it = !it->second.confirmed && isDead(it->first) ? this->removeGrant(it) : std::next(it);
    }
}

void EngineScheduler::close(std::string_view reason)
{
    this->closeReason = reason;
}

Clock::duration EngineScheduler::prefillTime(double tokens) const
{
    return this->reported.tokensPerSecond > 0 ? fromMillis(tokens / this->reported.tokensPerSecond * 1000)
                                              : Clock::duration(0);
}

Clock::duration EngineScheduler::prefillWait(TimePoint now) const
{
    const auto zero = Clock::duration(0);
    // Limited to the time for the tokens granted now, so that the estimate falls at once when a grant is released.
    const auto tracked = std::min(std::max(zero, this->prefillBusyUntil - now),
                                  this->prefillTime(static_cast<double>(this->trackedTokens)));
    const auto untracked =
        this->prefillTime(static_cast<double>(this->untrackedTokens)) - (now - this->reported.updatedAt);
    return tracked + std::max(zero, untracked);
}

Clock::duration EngineScheduler::slotInterval() const
{
    return this->reported.slots > 0 ? fromMillis(this->meanHoldMs / this->reported.slots) : Clock::duration(0);
}

bool EngineScheduler::hasCapacity(const SlotRequest &request, TimePoint now) const
{
    const bool hasSlots =
        request.slots == 0 || this->trackedSlots + this->untrackedSlots + request.slots <= this->reported.slots;
    return hasSlots && (request.tokens == 0 || this->prefillWait(now) < MaxPrefillAhead);
}

Millis EngineScheduler::waitLimit(const SlotRequest &request, TimePoint now) const
{
    if (this->canGrant(now)) {
        return request.maxWait;
    }
    return std::min(request.maxWait, this->isUnreachable ? MaxUnreachableWait : MaxReportWait);
}

EngineScheduler::Decision EngineScheduler::refuse(const SlotRequest &request, Clock::duration expected,
                                                  std::string_view reason) const
{
    return {request, std::nullopt, std::chrono::ceil<Millis>(expected), reason};
}

std::vector<EngineScheduler::Decision> EngineScheduler::decide(TimePoint now)
{
    this->expire(now);
    std::vector<Decision> decisions = std::exchange(this->readyDecisions, {});
    const auto overdue = this->waiting.removeIf([&](const FairQueue::Entry &entry) {
        return !this->closeReason.empty() || now > entry.queuedAt + this->waitLimit(entry.request, now);
    });
    for (const FairQueue::Entry &entry : overdue) {
        std::string_view reason = this->closeReason;
        if (reason.empty()) {
            reason = this->canGrant(now) ? "wait-over" : NoFreshReportReason;
        }
        decisions.push_back(this->refuse(entry.request, now - entry.queuedAt, reason));
    }
    if (this->canGrant(now)) {
        this->grantWaiting(now, decisions);
        this->refuseUnsatisfiable(now, decisions);
    }
    return decisions;
}

void EngineScheduler::grantWaiting(TimePoint now, std::vector<Decision> &decisions)
{
    // A smaller request never overtakes the front of the queue, otherwise large requests would starve.
    for (const auto *next = this->waiting.front(); next != nullptr && this->hasCapacity(next->request, now);
         next = this->waiting.front()) {
        const SlotRequest request = this->waiting.serveFront().request;
        const auto wait = this->prefillWait(now);
        const SlotGrant grant{request.requestId,     this->engine,   "",
                              request.slots,         request.tokens, std::chrono::ceil<Millis>(wait),
                              request.sequenceNumber};
        this->addGrant(grant, now, false);
        this->prefillBusyUntil =
            std::max(now, this->prefillBusyUntil) + this->prefillTime(static_cast<double>(request.tokens));
        decisions.push_back({request, grant, grant.expectedWait, "granted"});
    }
}

void EngineScheduler::refuseUnsatisfiable(TimePoint now, std::vector<Decision> &decisions)
{
    std::map<std::string, Clock::duration> unsatisfiable;
    Clock::duration prefillAhead =
        this->prefillWait(now) - std::min<Clock::duration>(MaxPrefillAhead, this->prefillWait(now));
    Clock::duration slotWait{0};
    for (const FairQueue::Entry *entry : this->waiting.inOrder()) {
        const SlotRequest &request = entry->request;
        const auto expected = (request.tokens > 0 ? prefillAhead : Clock::duration(0))
            + (request.slots > 0 ? slotWait + this->slotInterval() * request.slots : Clock::duration(0));
        if (request.slots > this->reported.slots || now + expected > entry->queuedAt + request.maxWait
            || request.maxWait.count() == 0) {
            unsatisfiable.emplace(request.requestId, expected);
            continue; // A refused request does not delay the next one.
        }
        prefillAhead += this->prefillTime(static_cast<double>(request.tokens));
        slotWait += this->slotInterval() * request.slots;
    }
    for (const auto &entry : this->waiting.removeIf([&unsatisfiable](const FairQueue::Entry &other) {
             return unsatisfiable.contains(other.request.requestId);
         })) {
        decisions.push_back(this->refuse(entry.request, unsatisfiable.at(entry.request.requestId), "cannot-be-met"));
    }
}

EngineLoad EngineScheduler::load(TimePoint now) const
{
    EngineLoad load = this->reported;
    load.engine = this->engine;
    std::uint64_t used = this->trackedSlots + this->untrackedSlots;
    double tokens = toMillis(this->prefillWait(now)) * this->reported.tokensPerSecond / 1000;
    for (const FairQueue::Entry *entry : this->waiting.inOrder()) {
        used += entry->request.slots;
        tokens += static_cast<double>(entry->request.tokens);
    }
    // All slots are reported as held while nothing can be granted, so that requesters choose other engines.
    load.usedSlots = this->canGrant(now)
        ? static_cast<std::uint32_t>(std::min<std::uint64_t>(used, this->reported.slots))
        : this->reported.slots;
    load.queuedTokens = static_cast<std::uint64_t>(tokens);
    return load;
}

std::optional<TimePoint> EngineScheduler::nextDeadline(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const FairQueue::Entry *entry : this->waiting.inOrder()) {
        // One millisecond later, since a request may still be granted at the very end of its wait.
        TimePoint deadline = entry->queuedAt + this->waitLimit(entry->request, now) + Millis(1);
        if (entry->request.tokens > 0) {
            deadline = std::min(deadline,
                                now + std::max<Clock::duration>(Millis(1), this->prefillWait(now) - MaxPrefillAhead));
        }
        next = next ? std::min(*next, deadline) : deadline;
    }
    return next;
}

std::size_t EngineScheduler::waitingCount() const
{
    return this->waiting.size();
}

bool EngineScheduler::isWaiting(const std::string &requestId) const
{
    return this->waiting.find(requestId) != nullptr;
}

}
