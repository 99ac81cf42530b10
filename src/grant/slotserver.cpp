#include "slotserver.h"

#include "slotclient.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/engineowner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Cyclamen
{

namespace
{

std::vector<Backend> enginesOf(const FleetView &view)
{
    std::vector<Backend> engines;
    std::copy_if(view.backends.begin(), view.backends.end(), std::back_inserter(engines),
                 [](const Backend &backend) { return backend.kind == BackendKind::Engine; });
    return engines;
}

// Covers what ownership depends on, so that the frequent views that differ only in load cost little.
std::uint64_t hashOf(const FleetView &view)
{
    std::uint64_t hash = 0;
    for (const Member &member : view.members) {
        hash = hash64(member.name, hash64(member.zone, hash + (isAvailable(member) ? 1 : 0)));
    }
    for (const Backend &backend : view.backends) {
        const auto traits = static_cast<std::uint64_t>(backend.state == BackendState::Live) * 4
            + static_cast<std::uint64_t>(backend.role);
        hash = hash64(backend.address, hash64(backend.zone, hash + traits));
    }
    return hash;
}

}

LedgerBook::LedgerBook(Hooks hooks, Metrics &metrics)
    : hooks(std::move(hooks))
    , metrics(metrics)
{
}

void LedgerBook::follow(const FleetView &view)
{
    std::map<std::string, Backend> known;
    for (const Backend &engine : enginesOf(view)) {
        known.emplace(engine.address, engine);
    }
    std::set<std::string> owned;
    for (const Backend &engine : ownedEngines(view.self.name, enginesOf(view), view.members)) {
        owned.insert(engine.address);
        if (!this->records.contains(engine.address)) {
            this->records.emplace(engine.address, Record{EngineScheduler(engine.address), engine, true, {}, {}});
            LogLine("engine-owned").add("engine", engine.address).write();
        }
    }
    for (auto &[address, record] : this->records) {
        record.owned = owned.contains(address);
        const auto backend = known.find(address);
        if (backend != known.end() && backend->second.state == BackendState::Live) {
            if (record.engine.state != BackendState::Live) {
                record.scheduler = EngineScheduler(address); // It came back: start from its own report.
            }
            record.engine = backend->second;
        } else {
            record.engine.state = BackendState::Leaving;
            record.owned = record.owned && backend != known.end();
            record.scheduler.close("leaving");
        }
    }
}

void LedgerBook::watchAll()
{
    std::vector<Backend> engines;
    for (const auto &[address, record] : this->records) {
        engines.push_back(record.engine);
    }
    this->hooks.watch(engines);
}

void LedgerBook::tick(TimePoint now)
{
    const FleetViewPtr view = this->hooks.view();
    bool isChanged = false;
    if (view != this->followed) {
        this->followed = view;
        const std::uint64_t hash = hashOf(*view);
        isChanged = hash != this->fleetHash;
        this->fleetHash = hash;
        if (isChanged) {
            this->follow(*view);
        }
    }
    for (auto it = this->records.begin(); it != this->records.end();) {
        Record &record = it->second;
        record.scheduler.dropDead([&](const std::string &requestId) { return this->hooks.isDead(requestId, *view); },
                                  now);
        this->settle(record, now);
        const bool isOver = !record.owned && record.askers.empty() && now - record.lastAsk > StandInLifetime;
        isChanged = isChanged || isOver;
        it = isOver ? this->records.erase(it) : std::next(it);
    }
    if (isChanged) {
        this->watchAll();
    }
}

LedgerBook::Record *LedgerBook::findOrStandIn(const std::string &engine, TimePoint now)
{
    const auto known = this->records.find(engine);
    if (known != this->records.end()) {
        return &known->second;
    }
    const FleetViewPtr view = this->hooks.view();
    const auto backend = std::find_if(view->backends.begin(), view->backends.end(),
                                      [&engine](const Backend &other) { return other.address == engine; });
    if (backend == view->backends.end() || backend->kind != BackendKind::Engine
        || backend->state != BackendState::Live) {
        return nullptr;
    }
    const auto owners = firstOwners(*backend, view->members, SlotClient::OwnersTried);
    const bool isResponsible = std::any_of(owners.begin(), owners.end(),
                                           [&view](const Member *owner) { return owner->name == view->self.name; });
    if (!isResponsible) {
        return nullptr;
    }
    const bool isOwner = owners.front()->name == view->self.name;
    Record record{EngineScheduler(engine), *backend, isOwner, now, {}};
    Record &added = this->records.emplace(engine, std::move(record)).first->second;
    LogLine(isOwner ? "engine-owned" : "engine-stand-in").add("engine", engine).write();
    this->watchAll();
    return &added;
}

void LedgerBook::takeAsk(const SlotAsk &ask, const std::string &replyAddress, TimePoint now)
{
    Record *record = this->findOrStandIn(ask.engine, now);
    SlotReply reply;
    reply.requestId = ask.requestId;
    reply.engine = ask.engine;
    reply.number = ask.number;
    if (record == nullptr) {
        reply.status = SlotStatus::NotOwner;
        this->hooks.reply(replyAddress, reply);
        return;
    }
    record->lastAsk = now;
    record->askers[ask.requestId] = replyAddress;
    record->scheduler.submit(ask, now);
    this->settle(*record, now);
    if (record->askers.contains(ask.requestId)) {
        reply.status = SlotStatus::Queued;
        reply.load = record->scheduler.load(now);
        this->hooks.reply(replyAddress, reply);
    }
}

void LedgerBook::takeRelease(const SlotRelease &release, TimePoint now)
{
    const auto it = this->records.find(release.engine);
    if (it != this->records.end()) {
        it->second.scheduler.release(release.requestId, now, release.number);
        if (!it->second.scheduler.isWaiting(release.requestId)) {
            it->second.askers.erase(release.requestId);
        }
        this->settle(it->second, now);
    }
}

void LedgerBook::takeReport(const EngineReport &report, TimePoint now)
{
    const auto it = this->records.find(report.load.engine);
    if (it == this->records.end()) {
        return;
    }
    if (report.held) {
        it->second.scheduler.applyReport(report.load, *report.held, now);
    } else {
        it->second.scheduler.applyLoad(report.load, now);
    }
    this->settle(it->second, now);
}

void LedgerBook::takeUnreachable(const std::string &engine, TimePoint now)
{
    const auto it = this->records.find(engine);
    if (it != this->records.end()) {
        it->second.scheduler.setUnreachable();
        this->settle(it->second, now);
    }
}

void LedgerBook::wake(TimePoint now)
{
    for (auto &[address, record] : this->records) {
        if (record.scheduler.waitingCount() > 0) {
            this->settle(record, now);
        }
    }
}

std::optional<TimePoint> LedgerBook::nextWake(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto &[address, record] : this->records) {
        const auto deadline = record.scheduler.nextDeadline(now);
        if (deadline) {
            next = next ? std::min(*next, *deadline) : deadline;
        }
    }
    return next;
}

void LedgerBook::settle(Record &record, TimePoint now)
{
    const auto decisions = record.scheduler.decide(now);
    const EngineLoad load = record.scheduler.load(now);
    if (load.known != TimePoint()) {
        this->hooks.publish(load);
    }
    for (const EngineScheduler::Decision &decision : decisions) {
        this->log(record, decision, load);
        const auto asker = record.askers.find(decision.request.requestId);
        if (asker == record.askers.end()) {
            continue;
        }
        SlotReply reply;
        reply.status = decision.grant ? SlotStatus::Granted : SlotStatus::Refused;
        reply.requestId = decision.request.requestId;
        reply.engine = decision.request.engine;
        reply.number = decision.request.number;
        reply.slots = decision.grant ? decision.grant->slots : 0;
        reply.tokens = decision.grant ? decision.grant->tokens : 0;
        reply.expectedWait = decision.expectedWait;
        reply.reason = decision.reason;
        reply.load = load;
        this->hooks.reply(asker->second, reply);
        record.askers.erase(asker);
    }
    // Asks of dead entries are forgotten without a decision.
    if (record.askers.size() > record.scheduler.waitingCount()) {
        std::erase_if(record.askers, [&record](const auto &asker) { return !record.scheduler.isWaiting(asker.first); });
    }
}

void LedgerBook::log(const Record &record, const EngineScheduler::Decision &decision, const EngineLoad &load) const
{
    const std::uint32_t free = load.slots > load.held ? load.slots - load.held : 0;
    LogLine(decision.grant ? "slot-grant" : "slot-refuse")
        .add("request", decision.request.requestId)
        .add("workspace", decision.request.workspace)
        .add("priority", int(decision.request.priority))
        .add("engine", decision.request.engine)
        .add("free_slots", std::int64_t(free))
        .add("queued_tokens", load.queuedTokens)
        .add("queue", std::uint64_t(record.scheduler.waitingCount()))
        .add("wait_ms", std::int64_t(decision.expectedWait.count()))
        .add("reason", decision.reason)
        .write();
    this->metrics.count("cyclamencross_slot_decisions_total",
                        {{"result", decision.grant ? "granted" : "refused"}, {"reason", std::string(decision.reason)}});
}

}
