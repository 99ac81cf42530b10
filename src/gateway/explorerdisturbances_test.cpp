// The part of Explorer that applies the entries of a schedule.

#include "explorer_test.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

constexpr Millis MaxAnswerDelay{900};
// Changes that the platform could not make during an outage follow it within this time.
constexpr Millis ChangeDelay{500};

bool isOutage(const Disturbance &item)
{
    return item.role == DisturbanceRole::All
        && (item.kind == DisturbanceKind::Refuse || item.kind == DisturbanceKind::Reset
            || item.kind == DisturbanceKind::Silent);
}

StoreFault faultOf(DisturbanceKind kind)
{
    switch (kind) {
    case DisturbanceKind::Refuse:
    case DisturbanceKind::RefuseReads:
    case DisturbanceKind::RefuseWrites:
        return StoreFault::Refuse;
    case DisturbanceKind::Reset:
        return StoreFault::Reset;
    case DisturbanceKind::Silent:
        return StoreFault::Silent;
    case DisturbanceKind::LoseAnswers:
        return StoreFault::LoseAnswers;
    case DisturbanceKind::Delay:
        return StoreFault::Delay;
    default:
        return StoreFault::None;
    }
}

StoreCalls callsOf(DisturbanceKind kind)
{
    if (kind == DisturbanceKind::RefuseReads) {
        return StoreCalls::Reads;
    }
    return kind == DisturbanceKind::RefuseWrites ? StoreCalls::Writes : StoreCalls::All;
}

}

void Explorer::apply(const Disturbance &item)
{
    if (int(item.kind) >= FirstChangeKind) {
        this->applyChange(item);
        return;
    }
    if (item.kind == DisturbanceKind::DropHistory || item.kind == DisturbanceKind::HideHistory) {
        this->store.dropHistory(item.kind == DisturbanceKind::HideHistory);
        this->invariants.recordStoreDisturbance(Millis(0));
        return;
    }
    if (isOutage(item)) {
        this->store.setDown(this->time.now() + item.duration);
        this->invariants.recordOutage(item.duration);
    }
    for (const std::size_t router : this->findRouters(item)) {
        if (this->routers[router] && this->routers[router]->process->alive) {
            this->applyToRouter(item, router);
        }
    }
}

void Explorer::applyToRouter(const Disturbance &item, std::size_t router)
{
    VirtualProcess &process = *this->routers[router]->process;
    if (const StoreFault fault = faultOf(item.kind); fault != StoreFault::None) {
        const Millis delay(fault == StoreFault::Delay ? std::int64_t(this->time.random() * MaxAnswerDelay.count()) : 0);
        this->store.setFault(router, fault, callsOf(item.kind), item.duration, delay);
        if (!isOutage(item)) {
            this->invariants.recordDisturbance(router, item.duration + delay);
        }
        return;
    }
    switch (item.kind) {
    case DisturbanceKind::SilentWatch:
        this->store.silenceWatch(router);
        this->invariants.recordDisturbance(router, Millis(0));
        break;
    case DisturbanceKind::SilentConnections:
        this->store.silenceConnections(router);
        this->invariants.recordDisturbance(router, Millis(0));
        break;
    case DisturbanceKind::SilentIdle:
        // The router runs and reaches the store by new connections, so only the begin is a disturbance.
        this->store.silenceIdle(router, item.duration);
        this->invariants.recordDisturbance(router, Millis(0));
        break;
    case DisturbanceKind::LoseReports:
        // No disturbance in the sense of the rules: the router runs and reaches the store.
        this->reportsLostUntil[router] = std::max(this->reportsLostUntil[router], this->time.now() + item.duration);
        break;
    case DisturbanceKind::Freeze:
    case DisturbanceKind::Suspend:
        this->time.freeze(process, item.duration, item.kind == DisturbanceKind::Suspend);
        this->invariants.recordDisturbance(router, item.duration);
        break;
    case DisturbanceKind::Kill:
        process.alive = false;
        this->time.runAt(this->time.now() + item.duration, nullptr, [this, router] {
            this->killed.push_back(std::move(this->routers[router]));
            this->startRouter(router);
        });
        break;
    default:
        break;
    }
}

void Explorer::applyChange(const Disturbance &item)
{
    if (this->store.isDown()) {
        const Millis retry(std::int64_t(this->time.random() * double(ChangeDelay.count())));
        this->time.runAt(this->time.now() + retry, nullptr, [this, &item] { this->applyChange(item); });
        return;
    }
    if (item.kind == DisturbanceKind::WriteConfig) {
        this->store.put(VirtualRouter::configKey(), std::to_string(++this->configVersion), 0);
        return;
    }
    this->applyToBackend(item);
}

void Explorer::applyToBackend(const Disturbance &item)
{
    Backend &backend = this->backends[std::size_t(item.target) % this->backends.size()];
    if (!backend.alive || backend.draining || !this->store.find(this->key(backend))) {
        return;
    }
    if (item.kind == DisturbanceKind::DrainBackend) {
        backend.draining = true;
        this->store.put(this->key(backend), this->value(backend), backend.lease);
    } else {
        backend.alive = false;
        this->invariants.recordStopped(backend.id);
        if (item.kind == DisturbanceKind::RemoveBackend) {
            backend.removed = true;
            this->store.endLease(backend.lease);
            this->store.remove(this->key(backend)); // After a return the entry may not be under that lease.
        }
    }
    this->time.runAt(this->time.now() + item.duration, nullptr, [this, &backend] { this->startBackend(backend); });
}

}
