#include "invariants_test.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// How long after an outage a returned entry is checked for gaps: longer than routers keep entries.
constexpr Millis GapCheckTime{4000};

}

Invariants::Invariants(VirtualTime &time, VirtualStore &store)
    : time(time)
    , store(store)
{
}

void Invariants::fail(const std::string &rule, const std::string &detail)
{
    if (!this->violation) {
        this->violation = Violation{rule, detail, this->time.millis()};
    }
}

std::string Invariants::describe(const RouterState &state) const
{
    const auto age = [&](const std::optional<TimePoint> &time) {
        return time ? std::to_string((state.environment.now() - *time) / Millis(1)) + " ms ago" : std::string("never");
    };
    return state.settings.name + " (certain " + age(state.freshness.confirmedAt()) + ", outage ended "
        + age(state.freshness.outageEndedAt()) + ")";
}

void Invariants::recordChange(const StoreItem &item)
{
    const TimePoint now = this->time.now();
    if (item.key == VirtualRouter::configKey()) {
        this->versions.emplace_back(std::stoull(item.value), now);
    }
    if (item.key.starts_with(FleetSync::memberPrefix()) && !item.removed) {
        this->registeredAt[std::stoul(item.key.substr(FleetSync::memberPrefix().size() + 1))] = now;
    }
    if (!item.key.starts_with(VirtualRouter::backendPrefix())) {
        return;
    }
    BackendTruth &backend = this->backends[item.key.substr(VirtualRouter::backendPrefix().size())];
    const bool wasUsable = backend.usable;
    const bool usable = !item.removed && VirtualRouter::isServing(item.value);
    if (usable != backend.usable) {
        backend.changedAt = now;
    }
    backend.usable = usable;
    this->recordChangeAfterReturn(backend, usable);
    backend.returnedAt = usable ? backend.returnedAt : TimePoint();
    if (item.removed) {
        backend.lapsed = this->store.isDown() && !backend.stopped && wasUsable;
        backend.lost = false;
    } else if (backend.lapsed) {
        backend.lapsed = false;
        if (usable && now <= this->outageEnd + ReturnTime) {
            backend.returnedAt = now;
            if (backend.lost) {
                this->fail("kept", item.key + " was back in time, but a router had removed it");
            }
        }
    }
    backend.stopped = backend.stopped && item.removed;
}

void Invariants::recordDisturbance(std::size_t router, Millis duration)
{
    TimePoint &until = this->disturbedUntil[router];
    until = std::max(until, this->time.now() + duration);
}

void Invariants::recordStoreDisturbance(Millis duration)
{
    this->storeDisturbedUntil = std::max(this->storeDisturbedUntil, this->time.now() + duration);
}

void Invariants::recordOutage(Millis duration)
{
    if (this->time.now() > this->outageEnd) {
        // Two outages with a short time between them: routers may not have noticed the first one's end.
        if (this->time.now() - this->outageEnd < TouchTime) {
            this->recordStoreDisturbance(duration);
        }
        this->outageBegin = this->time.now();
    }
    this->outageEnd = std::max(this->outageEnd, this->time.now() + duration);
}

void Invariants::recordStopped(const std::string &backend)
{
    this->backends[backend].stopped = true;
    this->backends[backend].kept = false;
}

void Invariants::recordOrder(const VirtualRouter &router, std::uint64_t token)
{
    const std::pair orderer(router.process->router, router.state.incarnation);
    const std::string who = router.state.settings.name + " with token " + std::to_string(token);
    if (this->lastOrderer && *this->lastOrderer != orderer && this->time.now() - this->lastOrder < OrderPause) {
        this->fail("leadership",
                   who + " may order " + std::to_string((this->time.now() - this->lastOrder) / Millis(1)) + " ms after "
                       + VirtualRouter::nameOf(this->lastOrderer->first));
    }
    if (this->lastOrderer && *this->lastOrderer != orderer && token == this->highestToken) {
        this->fail("leadership", who + " may order with the token of another holder");
    }
    if (token < this->highestToken) {
        this->fail("leadership", who + " may order after token " + std::to_string(this->highestToken));
    }
    this->highestToken = std::max(this->highestToken, token);
    this->lastOrderer = orderer;
    this->lastOrder = this->time.now();
}

std::optional<std::size_t> Invariants::lastToOrder() const
{
    return this->lastOrderer ? std::optional(this->lastOrderer->first) : std::nullopt;
}

bool Invariants::isUndisturbed(const VirtualRouter &router, Millis duration) const
{
    const auto disturbed = this->disturbedUntil.find(router.process->router);
    TimePoint since = std::max({router.startTime, this->storeDisturbedUntil, this->outageEnd, this->returnEnd});
    if (disturbed != this->disturbedUntil.end()) {
        since = std::max(since, disturbed->second);
    }
    return this->time.now() - since >= duration;
}

bool Invariants::knowsOnlyOutage(const VirtualRouter &router) const
{
    const auto disturbed = this->disturbedUntil.find(router.process->router);
    const bool wasDisturbed =
        disturbed != this->disturbedUntil.end() && disturbed->second >= this->outageBegin - TouchTime;
    return !wasDisturbed && this->storeDisturbedUntil < this->outageBegin - TouchTime
        && this->returnEnd < this->outageBegin - TouchTime && router.startTime < this->outageBegin - TouchTime;
}

void Invariants::check(const VirtualRouter &router)
{
    const RouterState &state = router.state;
    if (router.stages.mayOrder()) {
        this->recordOrder(router, state.fencingToken());
    }
    const std::uint64_t version = state.table ? state.table->version() : 0;
    auto &[incarnation, seen] = this->seenVersions[router.process->router];
    if (incarnation == state.incarnation && version < seen) {
        this->fail("configuration", state.settings.name + " went back to version " + std::to_string(version));
    }
    incarnation = state.incarnation;
    seen = version;
    if (state.table && state.table->match("host", "/r") == nullptr) {
        this->fail("route", state.settings.name + " does not know the route");
    }
    if (this->isUndisturbed(router, ReadyTime) && !state.isReady()) {
        this->fail("ready", state.settings.name + " is not ready");
    }
    if (this->isUndisturbed(router, TouchTime)) {
        for (const auto &[number, time] : this->versions) {
            if (version < number && this->time.now() - time >= ChangeTime) {
                this->fail("configuration",
                           state.settings.name + " has version " + std::to_string(version) + " instead of "
                               + std::to_string(number));
            }
        }
    }
    this->checkRegistration(router);
    for (auto &[id, backend] : this->backends) {
        this->checkBackend(router, id, backend);
    }
}

void Invariants::checkBackend(const VirtualRouter &router, const std::string &id, BackendTruth &backend)
{
    const TimePoint now = this->time.now();
    const BackendServer *known = router.state.backends.find(id);
    const bool used = known != nullptr && router.state.isUsable(*known, router.state.environment.now());
    if (used && !backend.usable && this->isUndisturbed(router, TouchTime)) {
        const TimePoint goneBy = backend.lapsed
            ? std::max(backend.changedAt + ChangeTime, this->outageEnd + ReturnTime + ReturnMargin)
            : backend.changedAt + ChangeTime;
        if (now >= goneBy) {
            this->fail("draining", this->describe(router.state) + " still uses " + id);
        }
    }
    if (!used && backend.lapsed && this->knowsOnlyOutage(router) && now < this->outageEnd + ReturnTime) {
        backend.lost = true;
    }
    this->checkReturned(router, id, backend, used);
    const bool isBack = backend.usable && backend.returnedAt > this->outageBegin;
    if (!used && isBack && now < this->outageEnd + GapCheckTime && this->knowsOnlyOutage(router)) {
        this->fail("kept", this->describe(router.state) + " removed " + id + ", which was back in time");
    }
}

}
