#include "cyclamencross/decide/engineledger.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Cyclamen
{

namespace
{

// Weight of a new hold time in the running mean. One eighth follows a change of load within about ten requests.
constexpr double HoldWeight = 0.125;

Clock::duration fromMillis(double millis)
{
    // An hour is beyond any deadline and keeps the conversion in range.
    const std::chrono::duration<double, std::milli> bounded(std::clamp(millis, 0.0, 3600000.0));
    return std::chrono::duration_cast<Clock::duration>(bounded);
}

double toMillis(Clock::duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

template<typename Number>
Number lessBy(Number whole, Number part)
{
    return whole > part ? whole - part : 0;
}

}

EngineLedger::EngineLedger(std::string engine)
    : engine(std::move(engine))
{
}

bool EngineLedger::canGrant(TimePoint now) const
{
    return this->closed.empty() && this->hasReport && now - this->reported.known <= StaleAfter;
}

bool EngineLedger::takeLoad(const EngineLoad &load)
{
    const bool isFirst = this->reported.known == TimePoint();
    if (!isFirst && load.known < this->reported.known) {
        return false;
    }
    if (isFirst || load.known - this->reported.known > StaleAfter) {
        this->hasReport = false;
    }
    this->reported = load;
    return true;
}

void EngineLedger::estimateForeign()
{
    std::uint64_t knownSlots = this->heldSlots;
    std::uint64_t knownTokens = this->heldTokens;
    for (const auto &[requestId, release] : this->released) {
        if (release.at + ReportLag >= this->reported.known) {
            knownSlots += release.slots;
            knownTokens += release.tokens;
        }
    }
    this->foreignSlots = lessBy<std::uint64_t>(this->reported.held, knownSlots);
    this->foreignTokens = lessBy(this->reported.queuedTokens, knownTokens);
    const auto own = std::min(this->reported.queuedTokens, this->heldTokens);
    this->prefillBusyUntil =
        std::max(this->prefillBusyUntil, this->reported.known + this->prefillTime(static_cast<double>(own)));
}

void EngineLedger::reportLoad(const EngineLoad &load, TimePoint now)
{
    this->expire(now);
    if (this->takeLoad(load)) {
        this->estimateForeign();
    }
}

void EngineLedger::report(const EngineLoad &load, const std::vector<std::string> &heldIds, TimePoint now)
{
    this->expire(now);
    if (!this->takeLoad(load)) {
        return;
    }
    this->hasReport = true;
    const std::set<std::string> listed(heldIds.begin(), heldIds.end());
    for (auto it = this->held.begin(); it != this->held.end();) {
        const bool isListed = listed.contains(it->first);
        it->second.confirmed = it->second.confirmed || isListed;
        if (it->second.confirmed && !isListed) {
            this->remember(it->second.grant, now); // The engine is done with it; the release is late or lost.
            it = this->drop(it);
        } else {
            ++it;
        }
    }
    for (const std::string &requestId : listed) {
        const auto release = this->released.find(requestId);
        const bool isLeaving =
            release != this->released.end() && release->second.byCaller && release->second.at + ReportLag >= load.known;
        if (!isLeaving && !this->held.contains(requestId)) {
            this->adopt(requestId, now);
        }
    }
    this->estimateForeign();
}

void EngineLedger::adopt(const std::string &requestId, TimePoint now)
{
    SlotGrant grant{requestId, this->engine, "", 1, 0, Millis(0), 0};
    // If this was granted here once, a late release of an earlier ask must not free it. Nor must a late copy of a
    // release that was taken already: the engine holds the request in spite of it.
    const auto memory = this->released.find(requestId);
    if (memory != this->released.end()) {
        const std::uint64_t covered = memory->second.covered;
        grant.number = std::max(memory->second.number, covered > 0 ? covered + 1 : 0);
    }
    // A request that waits for room which it already has must not be granted it a second time.
    for (const auto &entry : this->waiting.removeIf(
             [&requestId](const FairQueue::Waiting &other) { return other.ask.requestId == requestId; })) {
        grant.number = entry.ask.number;
        this->answered.push_back({entry.ask, grant, Millis(0), "repeated"});
    }
    this->addHeld(grant, now, true);
}

EngineLedger::Release &EngineLedger::remember(const SlotGrant &grant, TimePoint now)
{
    const auto [memory, isNew] = this->released.emplace(grant.requestId, Release{});
    if (isNew) {
        this->releaseOrder.push_back(grant.requestId);
    }
    Release &release = memory->second;
    release = {now, std::max(release.number, grant.number), grant.slots, grant.tokens, false, release.covered};
    return release;
}

void EngineLedger::setUnreachable()
{
    this->hasReport = false;
}

void EngineLedger::addHeld(const SlotGrant &grant, TimePoint now, bool confirmed)
{
    this->held.emplace(grant.requestId, Held{grant, now, confirmed});
    this->heldSlots += grant.slots;
    this->heldTokens += grant.tokens;
}

EngineLedger::HeldMap::iterator EngineLedger::drop(HeldMap::iterator it)
{
    this->heldSlots -= it->second.grant.slots;
    this->heldTokens -= it->second.grant.tokens;
    return this->held.erase(it);
}

void EngineLedger::expire(TimePoint now)
{
    for (auto it = this->held.begin(); it != this->held.end();) {
        if (!it->second.confirmed && now - it->second.since >= UnconfirmedLifetime) {
            this->remember(it->second.grant, now);
            it = this->drop(it);
        } else {
            ++it;
        }
    }
    while (!this->releaseOrder.empty()) {
        const auto oldest = this->released.find(this->releaseOrder.front());
        if (now - oldest->second.at < ReleaseMemory && this->released.size() <= MaxReleased) {
            break;
        }
        this->released.erase(oldest);
        this->releaseOrder.pop_front();
    }
}

void EngineLedger::ask(const SlotAsk &ask, TimePoint now)
{
    this->expire(now);
    const auto same = this->held.find(ask.requestId);
    if (same != this->held.end()) {
        same->second.grant.number = std::max(same->second.grant.number, ask.number);
        this->answered.push_back({ask, same->second.grant, same->second.grant.expectedWait, "repeated"});
        return;
    }
    const auto release = this->released.find(ask.requestId);
    if (release != this->released.end() && ask.number <= release->second.number) {
        this->answered.push_back(this->refuse(ask, {}, "released"));
    } else if (!this->closed.empty()) {
        this->answered.push_back(this->refuse(ask, {}, this->closed));
    } else if (this->waiting.size() >= MaxWaiting && this->waiting.find(ask.requestId) == nullptr) {
        this->answered.push_back(this->refuse(ask, {}, "queue-full"));
    } else {
        this->waiting.add(ask, now);
    }
}

void EngineLedger::release(const std::string &requestId, TimePoint now, std::uint64_t number)
{
    const auto isCovered = [number](std::uint64_t other) { return number == 0 || other <= number; };
    this->waiting.removeIf([&](const FairQueue::Waiting &entry) {
        return entry.ask.requestId == requestId && isCovered(entry.ask.number);
    });
    const auto it = this->held.find(requestId);
    if (it != this->held.end() && isCovered(it->second.grant.number)) {
        const Held given = it->second;
        this->drop(it);
        this->remember(given.grant, now).byCaller = true;
        if (given.grant.slots > 0) {
            const double holdMs = toMillis(now - given.since);
            this->meanHoldMs =
                this->meanHoldMs > 0 ? this->meanHoldMs + HoldWeight * (holdMs - this->meanHoldMs) : holdMs;
        }
    } else if (!this->released.contains(requestId)) {
        // Nothing is held: this only keeps a late copy of the ask from being granted.
        this->remember({requestId, this->engine, "", 0, 0, Millis(0), number}, now).byCaller = true;
    }
    Release &memory = this->released.at(requestId);
    memory.number = std::max(memory.number, number);
    memory.covered = std::max(memory.covered, number);
    this->expire(now);
}

void EngineLedger::forget(const std::function<bool(const std::string &)> &isDead, TimePoint now)
{
    this->expire(now);
    this->waiting.removeIf([&isDead](const FairQueue::Waiting &entry) { return isDead(entry.ask.requestId); });
    for (auto it = this->held.begin(); it != this->held.end();) {
        it = !it->second.confirmed && isDead(it->first) ? this->drop(it) : std::next(it);
    }
}

void EngineLedger::close(std::string_view reason)
{
    this->closed = reason;
}

Clock::duration EngineLedger::prefillTime(double tokens) const
{
    return this->reported.tokensPerSecond > 0 ? fromMillis(tokens / this->reported.tokensPerSecond * 1000)
                                              : Clock::duration(0);
}

Clock::duration EngineLedger::prefillWait(TimePoint now) const
{
    const auto zero = Clock::duration(0);
    // The granted tokens bound the estimate from above, so that releases show at once.
    const auto own = std::min(std::max(zero, this->prefillBusyUntil - now),
                              this->prefillTime(static_cast<double>(this->heldTokens)));
    const auto foreign = this->prefillTime(static_cast<double>(this->foreignTokens)) - (now - this->reported.known);
    return own + std::max(zero, foreign);
}

Clock::duration EngineLedger::slotInterval() const
{
    return this->reported.slots > 0 ? fromMillis(this->meanHoldMs / this->reported.slots) : Clock::duration(0);
}

bool EngineLedger::hasRoom(const SlotAsk &ask, TimePoint now) const
{
    const bool hasSlots = ask.slots == 0 || this->heldSlots + this->foreignSlots + ask.slots <= this->reported.slots;
    return hasSlots && (ask.tokens == 0 || this->prefillWait(now) < PrefillAhead);
}

Millis EngineLedger::waitLimit(const SlotAsk &ask, TimePoint now) const
{
    return this->canGrant(now) ? ask.maxWait : std::min(ask.maxWait, ReportWait);
}

EngineLedger::Decision EngineLedger::refuse(const SlotAsk &ask, Clock::duration expected, std::string_view reason) const
{
    return {ask, std::nullopt, std::chrono::ceil<Millis>(expected), reason};
}

std::vector<EngineLedger::Decision> EngineLedger::decide(TimePoint now)
{
    this->expire(now);
    std::vector<Decision> decisions = std::exchange(this->answered, {});
    const auto overdue = this->waiting.removeIf([&](const FairQueue::Waiting &entry) {
        return !this->closed.empty() || now > entry.since + this->waitLimit(entry.ask, now);
    });
    for (const FairQueue::Waiting &entry : overdue) {
        std::string_view reason = this->closed;
        if (reason.empty()) {
            reason = this->canGrant(now) ? "wait-over" : "no-fresh-report";
        }
        decisions.push_back(this->refuse(entry.ask, now - entry.since, reason));
    }
    if (this->canGrant(now)) {
        this->grantWaiting(now, decisions);
        this->refuseHopeless(now, decisions);
    }
    return decisions;
}

void EngineLedger::grantWaiting(TimePoint now, std::vector<Decision> &decisions)
{
    // The front is never bypassed by a smaller ask, or large ones would starve.
    for (const auto *next = this->waiting.front(); next != nullptr && this->hasRoom(next->ask, now);
         next = this->waiting.front()) {
        const SlotAsk ask = this->waiting.serveFront().ask;
        const auto wait = this->prefillWait(now);
        const SlotGrant grant{ask.requestId, this->engine, "", ask.slots, ask.tokens, std::chrono::ceil<Millis>(wait),
                              ask.number};
        this->addHeld(grant, now, false);
        this->prefillBusyUntil =
            std::max(now, this->prefillBusyUntil) + this->prefillTime(static_cast<double>(ask.tokens));
        decisions.push_back({ask, grant, grant.expectedWait, "granted"});
    }
}

void EngineLedger::refuseHopeless(TimePoint now, std::vector<Decision> &decisions)
{
    std::map<std::string, Clock::duration> hopeless;
    Clock::duration ahead = this->prefillWait(now) - std::min<Clock::duration>(PrefillAhead, this->prefillWait(now));
    Clock::duration slotsAhead{0};
    for (const FairQueue::Waiting *entry : this->waiting.inOrder()) {
        const SlotAsk &ask = entry->ask;
        const auto expected = (ask.tokens > 0 ? ahead : Clock::duration(0))
            + (ask.slots > 0 ? slotsAhead + this->slotInterval() * ask.slots : Clock::duration(0));
        if (ask.slots > this->reported.slots || now + expected > entry->since + ask.maxWait
            || ask.maxWait.count() == 0) {
            hopeless.emplace(ask.requestId, expected);
            continue; // What is refused is not ahead of the next one.
        }
        ahead += this->prefillTime(static_cast<double>(ask.tokens));
        slotsAhead += this->slotInterval() * ask.slots;
    }
    for (const auto &entry : this->waiting.removeIf(
             [&hopeless](const FairQueue::Waiting &other) { return hopeless.contains(other.ask.requestId); })) {
        decisions.push_back(this->refuse(entry.ask, hopeless.at(entry.ask.requestId), "cannot-be-met"));
    }
}

EngineLoad EngineLedger::load(TimePoint now) const
{
    EngineLoad load = this->reported;
    load.engine = this->engine;
    std::uint64_t used = this->heldSlots + this->foreignSlots;
    double tokens = toMillis(this->prefillWait(now)) * this->reported.tokensPerSecond / 1000;
    for (const FairQueue::Waiting *entry : this->waiting.inOrder()) {
        used += entry->ask.slots;
        tokens += static_cast<double>(entry->ask.tokens);
    }
    // Nothing is free while nothing is granted, so that askers turn to other engines.
    load.held = this->canGrant(now) ? static_cast<std::uint32_t>(std::min<std::uint64_t>(used, this->reported.slots))
                                    : this->reported.slots;
    load.queuedTokens = static_cast<std::uint64_t>(tokens);
    return load;
}

std::optional<TimePoint> EngineLedger::nextDeadline(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const FairQueue::Waiting *entry : this->waiting.inOrder()) {
        // One clock tick later, since an ask may still be granted at the very end of its wait.
        TimePoint at = entry->since + this->waitLimit(entry->ask, now) + Millis(1);
        if (entry->ask.tokens > 0) {
            at = std::min(at, now + std::max<Clock::duration>(Millis(1), this->prefillWait(now) - PrefillAhead));
        }
        next = next ? std::min(*next, at) : at;
    }
    return next;
}

std::size_t EngineLedger::waitingCount() const
{
    return this->waiting.size();
}

bool EngineLedger::isWaiting(const std::string &requestId) const
{
    return this->waiting.find(requestId) != nullptr;
}

}
