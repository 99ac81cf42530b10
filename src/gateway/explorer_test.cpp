#include "explorer_test.h"

#include "leadership.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Cyclamen
{

namespace
{

constexpr Millis TickPeriod{50};
constexpr Millis HeartbeatPeriod{1200};
constexpr Millis OutagePollPeriod{20};
constexpr Millis BackendLease{3000};
// After an outage, live backend servers register again within this time, so that the last one is acknowledged within
// Invariants::ReturnTime.
constexpr Millis LatestReturn{1900};
// After an outage, backend servers renew leases that are still in force within this time.
constexpr Millis LatestRenewal{300};
constexpr Micros ReportLatency{1000};
constexpr int BackendCount = 3;

}

Explorer::Explorer(ExplorationSchedule schedule, bool clientsDropIdleConnections)
    : schedule(std::move(schedule))
    , time(this->schedule.seed)
    , store(this->time)
    , invariants(this->time, this->store)
{
    this->store.clientsDropIdleConnections = clientsDropIdleConnections;
    this->store.onChange = [this](const StoreItem &item) { this->invariants.recordChange(item); };
    if (this->schedule.hasReturns()) {
        this->store.nameGeneration();
    }
}

Explorer::~Explorer()
{
    this->store.clear();
    this->time.clear();
}

std::string Explorer::key(const Backend &backend) const
{
    return VirtualRouter::backendPrefix() + backend.id;
}

std::optional<Violation> Explorer::run()
{
    this->store.put(VirtualRouter::configKey(), std::to_string(this->configVersion), 0);
    // An engine that gets orders, since its stage differs from the plan.
    this->store.put(VirtualRouter::backendPrefix() + "e0", VirtualRouter::backendValue(false), 0);
    this->store.put(FleetSync::stagePlanKey(), R"({"engines":{"e0":"decode"}})", 0);
    for (int i = 0; i < BackendCount; ++i) {
        Backend backend;
        backend.id = "s";
        backend.id += std::to_string(i);
        this->backends.push_back(backend);
    }
    for (Backend &backend : this->backends) {
        this->startBackend(backend);
    }
    this->routers.resize(std::size_t(this->schedule.routers));
    this->reportsLostUntil.resize(this->routers.size());
    for (std::size_t i = 0; i < this->routers.size(); ++i) {
        const Millis start(std::int64_t(this->time.random() * 500));
        this->time.runAt(this->time.now() + start, nullptr, [this, i] { this->startRouter(i); });
    }
    for (const Disturbance &item : this->schedule.disturbances) {
        if (int(item.kind) >= FirstReturnKind) {
            this->scheduleReturn(item);
        } else {
            this->time.runAt(VirtualTime::Start + item.at, nullptr, [this, &item] { this->apply(item); });
        }
    }
    const TimePoint end = VirtualTime::Start + ExplorationSchedule::Duration;
    TimePoint nextTick = this->time.now();
    while (this->time.now() < end && !this->invariants.violation) {
        ProcessPtr process;
        if (!this->time.step(nextTick, process)) {
            nextTick += TickPeriod;
            this->store.expireLeases();
            this->checkAll();
        } else if (process && this->routers[process->router]->process == process) {
            this->invariants.check(*this->routers[process->router]);
        }
    }
    return this->invariants.violation;
}

void Explorer::checkAll()
{
    for (const auto &router : this->routers) {
        if (router && router->process->alive && router->process->frozenUntil <= this->time.now()) {
            this->invariants.check(*router);
        }
    }
}

void Explorer::startRouter(std::size_t index)
{
    this->routers[index] = std::make_unique<VirtualRouter>(
        this->time, this->store, index, this->nextIncarnation++,
        [this, index](const std::vector<RouterMember> &peers, const PeerReport &report) {
            this->deliver(index, peers, report);
        },
        [this, index](const OrderCall &order) {
            this->invariants.recordOrder(*this->routers[index], std::stoull(order.body));
        });
    this->newest = index;
    this->routers[index]->start();
}

void Explorer::deliver(std::size_t from, const std::vector<RouterMember> &peers, const PeerReport &report)
{
    if (peers.empty() || this->time.now() < this->reportsLostUntil[from]) {
        return;
    }
    const auto shared = std::make_shared<const PeerReport>(report);
    for (const RouterMember &peer : peers) {
        const std::size_t index = std::stoul(peer.name.substr(1));
        const VirtualRouter *receiver = this->routers[index].get();
        if (receiver == nullptr || !receiver->process->alive || this->time.now() < this->reportsLostUntil[index]) {
            continue;
        }
        const Micros latency(std::int64_t(this->time.random() * double(ReportLatency.count())));
        this->time.runAt(this->time.now() + latency, receiver->process, [this, index, shared] {
            VirtualRouter &router = *this->routers[index];
            router.state.applyReport(*shared, this->time.now(*router.process));
        });
    }
}

void Explorer::startBackend(Backend &backend)
{
    backend.alive = true;
    backend.draining = false;
    backend.removed = false;
    backend.lease = 0;
    ++backend.starts;
    this->heartbeat(backend, ++backend.beats);
}

std::string Explorer::value(const Backend &backend) const
{
    // Entries tell the start only where old and new ones may meet.
    return VirtualRouter::backendValue(backend.draining, this->schedule.hasReturns() ? backend.starts : 0);
}

void Explorer::heartbeat(Backend &backend, int beats)
{
    if (!backend.alive || beats != backend.beats) {
        return;
    }
    Millis next = HeartbeatPeriod;
    if (this->store.isDown()) {
        next = OutagePollPeriod;
        backend.missed = true;
    } else if (std::exchange(backend.missed, false)) {
        const Millis latest = this->store.find(this->key(backend)) ? LatestRenewal : LatestReturn;
        next = Millis(std::int64_t(this->time.random() * double(latest.count())));
    } else if (!this->store.renewLease(backend.lease)) {
        backend.lease = this->store.grantLease(BackendLease);
        this->store.put(this->key(backend), this->value(backend), backend.lease);
    }
    this->time.runAt(this->time.now() + next, nullptr, [this, &backend, beats] { this->heartbeat(backend, beats); });
}

std::vector<std::size_t> Explorer::findRouters(const Disturbance &item) const
{
    std::vector<std::size_t> ranked(this->routers.size());
    std::iota(ranked.begin(), ranked.end(), 0);
    std::sort(ranked.begin(), ranked.end(), [](std::size_t a, std::size_t b) {
        return hash64(VirtualRouter::nameOf(a)) < hash64(VirtualRouter::nameOf(b));
    });
    const std::size_t count = ranked.size();
    const auto record = this->store.find(FleetSync::leaderKey());
    const auto leader = record ? decodeLeadership(*record, 0) : std::nullopt;
    const std::size_t watchers = std::min<std::size_t>(3, count);
    const std::size_t chosen = std::size_t(item.target) % count;
    switch (item.role) {
    case DisturbanceRole::Leader:
        return {leader ? std::stoul(leader->router.substr(1)) : ranked[0]};
    case DisturbanceRole::PrimaryWatcher:
        return {ranked[0]};
    case DisturbanceRole::FirstStandby:
        return {ranked[1]};
    case DisturbanceRole::SecondStandby:
        return {ranked[2]};
    case DisturbanceRole::AllWatchers:
        ranked.resize(watchers);
        return ranked;
    case DisturbanceRole::LastToOrder:
        return {this->invariants.lastToOrder().value_or(chosen)};
    case DisturbanceRole::Newest:
        return {this->newest.value_or(chosen)};
    case DisturbanceRole::NoWatcher:
        return {ranked[count > watchers ? watchers + chosen % (count - watchers) : chosen]};
    case DisturbanceRole::Half:
        std::rotate(ranked.begin(), ranked.begin() + std::ptrdiff_t(chosen), ranked.end());
        ranked.resize(count / 2);
        return ranked;
    case DisturbanceRole::AllButOne:
        ranked.erase(ranked.begin() + std::ptrdiff_t(chosen));
        return ranked;
    case DisturbanceRole::All:
        break;
    }
    return ranked;
}

ExplorationSchedule Explorer::shorten(ExplorationSchedule schedule, const std::string &rule,
                                      bool clientsDropIdleConnections)
{
    bool shortened = true;
    while (shortened) {
        shortened = false;
        for (std::size_t i = 0; i < schedule.disturbances.size() && !shortened; ++i) {
            ExplorationSchedule candidate = schedule;
            candidate.disturbances.erase(candidate.disturbances.begin() + std::ptrdiff_t(i));
            const auto violation = Explorer(candidate, clientsDropIdleConnections).run();
            if (violation && violation->rule == rule) {
                schedule = candidate;
                shortened = true;
            }
        }
    }
    return schedule;
}

}
