// The part of Explorer for a store that returns from an older copy.

#include "explorer_test.h"

#include <memory>
#include <set>

namespace Cyclamen
{

namespace
{

// The platform writes again what the store lost within this time of the return.
constexpr Millis FirstRepeat{100};
constexpr Millis LatestRepeat{1200};
// Interval of tries while the store is away again.
constexpr Millis RetryPeriod{20};

StoreFault faultOf(DisturbanceKind kind)
{
    if (kind == DisturbanceKind::ReturnRefuse) {
        return StoreFault::Refuse;
    }
    return kind == DisturbanceKind::ReturnReset ? StoreFault::Reset : StoreFault::Silent;
}

}

void Explorer::scheduleReturn(const Disturbance &item)
{
    const TimePoint begin = VirtualTime::Start + item.at;
    this->time.runAt(begin - Millis(item.target), nullptr, [this, &item] {
        this->store.expireLeases();
        const auto copy = std::make_shared<const VirtualStoreContent>(this->store.currentContent());
        const TimePoint end = VirtualTime::Start + item.at + item.duration;
        const Clock::duration age = end - this->time.now();
        this->time.runAt(end, nullptr, [this, copy, age] { this->finishReturn(*copy, age); });
    });
    this->time.runAt(begin, nullptr, [this, &item] { this->beginReturn(item); });
}

void Explorer::beginReturn(const Disturbance &item)
{
    this->invariants.recordReturnBegin(item.duration);
    this->store.setDown(this->time.now() + item.duration);
    for (std::size_t router = 0; router < this->routers.size(); ++router) {
        this->store.setFault(router, faultOf(item.kind), StoreCalls::All, item.duration, Millis(0));
    }
}

void Explorer::finishReturn(const VirtualStoreContent &copy, Clock::duration age)
{
    this->store.returnFrom(copy, age);
    std::set<std::string> serving;
    std::set<std::string> leaving;
    for (const Backend &backend : this->backends) {
        if (backend.alive && !backend.draining) {
            serving.insert(backend.id);
        } else if (backend.draining || backend.removed) {
            leaving.insert(backend.id);
        }
    }
    this->invariants.recordReturn(serving, leaving);
    for (Backend &backend : this->backends) {
        // Another writer may have been given the id of a lease that the copy lacks.
        const bool hasEntry = this->store.find(this->key(backend)) == this->value(backend)
            && this->store.leaseOf(this->key(backend)) == backend.lease;
        backend.lease = hasEntry ? backend.lease : 0;
        backend.missed = false;
        const int beats = ++backend.beats;
        this->time.runAt(this->repeatTime(), nullptr, [this, &backend, beats] {
            if (beats == backend.beats) {
                this->repeatWrite(backend);
            }
        });
    }
    this->time.runAt(this->repeatTime(), nullptr, [this] { this->repeatConfig(); });
}

TimePoint Explorer::repeatTime()
{
    const double spread = double((LatestRepeat - FirstRepeat).count());
    return this->time.now() + FirstRepeat + Millis(std::int64_t(this->time.random() * spread));
}

void Explorer::repeatWrite(Backend &backend)
{
    if (backend.alive) {
        this->heartbeat(backend, backend.beats);
    } else if (this->store.isDown()) {
        this->time.runAt(this->time.now() + RetryPeriod, nullptr, [this, &backend] { this->repeatWrite(backend); });
    } else if (backend.removed) {
        this->store.remove(this->key(backend));
    }
}

void Explorer::repeatConfig()
{
    if (this->store.isDown()) {
        this->time.runAt(this->time.now() + RetryPeriod, nullptr, [this] { this->repeatConfig(); });
        return;
    }
    const std::string newest = std::to_string(this->configVersion);
    if (this->store.find(VirtualRouter::configKey()) != newest) {
        this->store.put(VirtualRouter::configKey(), newest, 0);
    }
}

}
