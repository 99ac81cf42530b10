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

// Hashes the inputs of ownership and polling, so that the frequent views that differ only in load cost little.
std::uint64_t hashOwnershipInputs(const FleetView &view)
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

SlotServer::SlotServer(Hooks hooks, Metrics &metrics)
    : hooks(std::move(hooks))
    , metrics(metrics)
{
}

void SlotServer::applyView(const FleetView &view)
{
    std::map<std::string, Backend> known;
    for (const Backend &engine : enginesOf(view)) {
        known.emplace(engine.address, engine);
    }
    std::set<std::string> owned;
    for (const Backend &engine : ownedEngines(view.self.name, enginesOf(view), view.members)) {
        owned.insert(engine.address);
        if (!this->records.contains(engine.address)) {
            this->records.emplace(engine.address, EngineRecord{EngineScheduler(engine.address), engine, true, {}, {}});
            LogLine("engine-owned").add("engine", engine.address).write();
        }
    }
    for (auto &[address, record] : this->records) {
        record.owned = owned.contains(address);
        const auto backend = known.find(address);
        if (backend != known.end() && backend->second.state == BackendState::Live) {
            if (record.engine.state != BackendState::Live) {
                record.scheduler = EngineScheduler(address); // The engine is back: start from its report.
            }
            record.engine = backend->second;
        } else {
            record.engine.state = BackendState::Leaving;
            record.owned = record.owned && backend != known.end();
            record.scheduler.close(EngineScheduler::LeavingReason);
        }
    }
}

void SlotServer::updatePolledEngines()
{
    std::vector<Backend> engines;
    for (const auto &[address, record] : this->records) {
        engines.push_back(record.engine);
    }
    this->hooks.setPolledEngines(engines);
}

void SlotServer::tick(TimePoint now)
{
    const FleetViewPtr view = this->hooks.view();
    bool isChanged = false;
    if (view != this->lastView) {
        this->lastView = view;
        const std::uint64_t hash = hashOwnershipInputs(*view);
        isChanged = hash != this->ownershipHash;
        this->ownershipHash = hash;
        if (isChanged) {
            this->applyView(*view);
        }
    }
    for (auto it = this->records.begin(); it != this->records.end();) {
        EngineRecord &record = it->second;
        record.scheduler.dropDead([&](const std::string &requestId) { return this->hooks.isDead(requestId, *view); },
                                  now);
        this->processDecisions(record, now);
        const bool isExpired =
            !record.owned && record.replyAddresses.empty() && now - record.lastRequest > FallbackLifetime;
        isChanged = isChanged || isExpired;
        it = isExpired ? this->records.erase(it) : std::next(it);
    }
    if (isChanged) {
        this->updatePolledEngines();
    }
}

SlotServer::EngineRecord *SlotServer::findOrCreate(const std::string &engine, TimePoint now)
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
    const auto owners = firstOwners(*backend, view->members, SlotClient::MaxOwnersTried);
    const bool isResponsible = std::any_of(owners.begin(), owners.end(),
                                           [&view](const Member *owner) { return owner->name == view->self.name; });
    if (!isResponsible) {
        return nullptr;
    }
    const bool isOwner = owners.front()->name == view->self.name;
    EngineRecord record{EngineScheduler(engine), *backend, isOwner, now, {}};
    EngineRecord &added = this->records.emplace(engine, std::move(record)).first->second;
    LogLine(isOwner ? "engine-owned" : "engine-stand-in").add("engine", engine).write();
    this->updatePolledEngines();
    return &added;
}

void SlotServer::handleSlotRequest(const SlotRequest &request, const std::string &replyAddress, TimePoint now)
{
    EngineRecord *record = this->findOrCreate(request.engine, now);
    SlotReply reply;
    reply.requestId = request.requestId;
    reply.engine = request.engine;
    reply.sequenceNumber = request.sequenceNumber;
    if (record == nullptr) {
        reply.status = SlotStatus::NotOwner;
        this->hooks.reply(replyAddress, reply);
        return;
    }
    record->lastRequest = now;
    record->replyAddresses[request.requestId] = replyAddress;
    record->scheduler.submit(request, now);
    this->processDecisions(*record, now);
    if (record->replyAddresses.contains(request.requestId)) {
        reply.status = SlotStatus::Queued;
        reply.load = record->scheduler.load(now);
        this->hooks.reply(replyAddress, reply);
    }
}

void SlotServer::handleRelease(const SlotRelease &release, TimePoint now)
{
    const auto it = this->records.find(release.engine);
    if (it != this->records.end()) {
        it->second.scheduler.release(release.requestId, now, release.sequenceNumber);
        if (!it->second.scheduler.isWaiting(release.requestId)) {
            it->second.replyAddresses.erase(release.requestId);
        }
        this->processDecisions(it->second, now);
    }
}

void SlotServer::handleReport(const EngineReport &report, TimePoint now)
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
    this->processDecisions(it->second, now);
}

void SlotServer::handleUnreachable(const std::string &engine, TimePoint now)
{
    const auto it = this->records.find(engine);
    if (it != this->records.end()) {
        it->second.scheduler.setUnreachable();
        this->processDecisions(it->second, now);
    }
}

void SlotServer::processDeadlines(TimePoint now)
{
    for (auto &[address, record] : this->records) {
        if (record.scheduler.waitingCount() > 0) {
            this->processDecisions(record, now);
        }
    }
}

std::optional<TimePoint> SlotServer::nextDeadline(TimePoint now) const
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

void SlotServer::processDecisions(EngineRecord &record, TimePoint now)
{
    const auto decisions = record.scheduler.decide(now);
    const EngineLoad load = record.scheduler.load(now);
    if (load.updatedAt != TimePoint()) {
        this->hooks.publishLoad(load);
    }
    for (const EngineScheduler::Decision &decision : decisions) {
        this->logDecision(record, decision, load);
        const auto replyAddress = record.replyAddresses.find(decision.request.requestId);
        if (replyAddress == record.replyAddresses.end()) {
            continue;
        }
        SlotReply reply;
        reply.status = decision.grant ? SlotStatus::Granted : SlotStatus::Refused;
        reply.requestId = decision.request.requestId;
        reply.engine = decision.request.engine;
        reply.sequenceNumber = decision.request.sequenceNumber;
        reply.slots = decision.grant ? decision.grant->slots : 0;
        reply.tokens = decision.grant ? decision.grant->tokens : 0;
        reply.expectedWait = decision.expectedWait;
        reply.reason = decision.reason;
        reply.load = load;
        this->hooks.reply(replyAddress->second, reply);
        record.replyAddresses.erase(replyAddress);
    }
    // Requests that were withdrawn, or belong to dead entries, leave the queue without a decision.
    if (record.replyAddresses.size() > record.scheduler.waitingCount()) {
        std::erase_if(record.replyAddresses,
                      [&record](const auto &replyAddress) { return !record.scheduler.isWaiting(replyAddress.first); });
    }
}

void SlotServer::logDecision(const EngineRecord &record, const EngineScheduler::Decision &decision,
                             const EngineLoad &load) const
{
    const std::uint32_t free = load.slots > load.usedSlots ? load.slots - load.usedSlots : 0;
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
