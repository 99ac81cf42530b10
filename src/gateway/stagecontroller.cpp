#include "stagecontroller.h"

#include "fleetsync.h"
#include "requesthandler.h"
#include "routerstate.h"
#include "stageplancodec.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/httpclientconnection.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Cyclamen
{

namespace
{

// Longest pause before a router claims a vacant leadership. The pauses are random, so that usually one router claims.
constexpr Millis MaxClaimPause{1500};

}

StageController::StageController(RouterState &state, FleetSync &sync, const BackendCodec &codec)
    : state(state)
    , sync(sync)
    , codec(codec)
{
    this->sendOrder = [this](BackendServer server, MakeOrder makeOrder) {
        return this->sendByHttp(std::move(server), std::move(makeOrder));
    };
}

boost::asio::awaitable<void> StageController::run()
{
    while (!this->state.stopping) {
        co_await this->state.environment.sleep(Period);
        if (!this->state.isLeader()) {
            this->leaderSince = std::nullopt;
            const bool isVacant = this->state.leadership.router.empty() && this->state.isPrimaryWatcher();
            if ((isVacant || this->state.hasFormerRecord()) && this->state.isReady()) {
                co_await this->claim();
            }
            continue;
        }
        if (!this->leaderSince) {
            this->leaderSince = this->state.environment.now();
            this->balancers.clear();
            this->orders.clear();
            this->fixedServices.clear();
            LogLine("leader").add("fencing_token", this->state.fencingToken()).write();
        }
        if (!this->mayOrder()) {
            continue;
        }
        if (this->state.stagePlanUnwritten) {
            co_await this->sync.writeStagePlan(this->state.stagePlan);
        }
        co_await this->dropFailedChanges();
        const bool pending = co_await this->enforcePlan();
        if (!pending && this->mayOrder()) {
            co_await this->balance();
        }
    }
}

bool StageController::mayOrder() const
{
    const Millis pause = this->state.settings.orderPause + TakeoverMargin;
    return this->state.isLeader() && !this->state.stopping && this->leaderSince
        && this->state.environment.now() - *this->leaderSince >= pause
        && this->sync.isLeaseConfirmed()
        // A former leader that the store cut off before it returned trusts its lease for LeaseTrust at most.
        && this->sync.hasSeenGenerationFor(FleetSync::LeaseTrust + pause);
}

boost::asio::awaitable<void> StageController::claim()
{
    co_await this->state.environment.sleep(Millis(std::int64_t(this->state.random() * double(MaxClaimPause.count()))));
    if ((this->state.leadership.router.empty() || this->state.hasFormerRecord()) && !this->state.stopping) {
        co_await this->sync.claimLeadership();
    }
}

boost::asio::awaitable<bool> StageController::enforcePlan()
{
    const TimePoint now = this->state.environment.now();
    bool pending = false;
    std::vector<std::pair<BackendServer, EngineStage>> due;
    for (const auto &[id, stage] : this->state.stagePlan.stages) {
        const BackendServer *server = this->state.backends.find(id);
        if (server == nullptr || server->draining || server->stage == stage) {
            continue;
        }
        if (this->state.statements.isSilent(id, now)) {
            continue; // The end of a pause must not hold up changes of other engines.
        }
        pending = true;
        const auto last = this->orders.find(id);
        const bool repeat = last == this->orders.end() || now - last->second.time >= OrderRepeatTime;
        if (repeat && now - this->state.stagePlanSince >= PlanHeadStart && int(due.size()) < MaxOrdersPerPeriod) {
            due.emplace_back(*server, stage);
        }
    }
    for (const auto &[server, stage] : due) {
        if (!this->mayOrder()) {
            break;
        }
        OrderRecord &record = this->orders[server.id];
        record.time = this->state.environment.now();
        ++record.count;
        co_await this->order(server, stage);
    }
    co_return pending;
}

boost::asio::awaitable<void> StageController::dropFailedChanges()
{
    const TimePoint now = this->state.environment.now();
    StagePlan plan = this->state.stagePlan;
    const auto dropped = std::erase_if(plan.stages, [this, now](const auto &item) {
        const BackendServer *server = this->state.backends.find(item.first);
        if (server == nullptr || server->stage == item.second) {
            return false;
        }
        const auto last = this->orders.find(item.first);
        const bool timedOut =
            last != this->orders.end() && last->second.count >= MaxOrders && now - last->second.time >= OrderRepeatTime;
        return timedOut || this->fixedServices.contains(server->service);
    });
    if (dropped > 0) {
        LogLine("stage-change-failed").add("engines", std::uint64_t(dropped)).warn();
        co_await this->sync.writeStagePlan(plan);
    }
}

boost::asio::awaitable<void> StageController::order(BackendServer server, EngineStage stage)
{
    std::uint64_t token = 0; // What is sent: the leader's record may change while the engine answers.
    const auto makeOrder = [this, &server, stage, &token]() -> std::optional<OrderCall> {
        const bool silent = this->state.statements.isSilent(server.id, this->state.environment.now());
        if (!this->mayOrder() || !this->state.isRegistered(server) || silent) {
            return std::nullopt;
        }
        token = this->state.fencingToken();
        return this->codec.stageOrder(server.id, stage, this->state.settings.name, token);
    };
    const std::optional<int> code = co_await this->sendOrder(server, makeOrder);
    if (!code) {
        co_return;
    }
    LogLine("engine-order")
        .add("backend", server.id)
        .add("stage", stageName(stage))
        .add("fencing_token", token)
        .add("status", *code)
        .write();
    // Any other status may change: the engine is busy, another one has its address, or it did not answer.
    if (*code == 400 || *code == 404 || *code == 405) {
        this->fixedServices.insert(server.service);
    }
    this->state.metrics.count("cyclamencross_engine_orders_total", {{"stage", stageName(stage)}});
}

boost::asio::awaitable<std::optional<int>> StageController::sendByHttp(BackendServer server, MakeOrder makeOrder)
{
    const auto connection = co_await this->state.connections.open(server.address, RequestHandler::ConnectTimeout);
    if (!connection) {
        co_return std::nullopt;
    }
    std::optional<int> code;
    if (std::optional<OrderCall> order = makeOrder()) {
        const TimePoint until = this->state.environment.now() + OrderTimeout;
        std::string call = std::move(order->call);
        std::optional<std::string> body = std::move(order->body);
        const ConnectionStatus status =
            co_await connection->performRequest(std::move(call), std::move(body), until, std::move(order->headers));
        code = status == ConnectionStatus::Ok ? connection->status() : 0;
        if (status == ConnectionStatus::Ok) {
            const BackendResponseHead head = this->codec.decodeResponseHead(*code, connection->headers());
            this->state.recordStatements(server, head, false, this->state.environment.now());
        }
    }
    connection->close();
    co_return code;
}

boost::asio::awaitable<void> StageController::balance()
{
    const TimePoint now = this->state.environment.now();
    StagePlan plan = this->state.stagePlan;
    std::erase_if(plan.stages, [this](const auto &item) { return this->state.backends.find(item.first) == nullptr; });
    bool changed = false;
    for (const auto &[service, load] : this->state.stageLoads()) {
        if (this->fixedServices.contains(service)) {
            continue;
        }
        StageBalancer &balancer = this->balancers[service];
        balancer.record(load, now);
        const int count = balancer.enginesToMove();
        if (count == 0) {
            continue;
        }
        LogLine("stage-change")
            .add("service", service)
            .add("to_decode", std::int64_t(count))
            .add("prefill_engines", std::int64_t(load.prefillEngines))
            .add("decode_engines", std::int64_t(load.decodeEngines))
            .add("prefill_requests", load.prefillRequests)
            .add("decode_use", load.decodeUse)
            .write();
        this->addChanges(plan, service, count > 0 ? EngineStage::Prefill : EngineStage::Decode,
                         count > 0 ? EngineStage::Decode : EngineStage::Prefill, std::abs(count));
        balancer.reset();
        changed = true;
    }
    if (changed) {
        co_await this->sync.writeStagePlan(plan);
    }
}

void StageController::addChanges(StagePlan &plan, const std::string &service, EngineStage from, EngineStage target,
                                 int count) const
{
    // Takes an engine of the availability zone that has the most of them left, so that no zone loses a stage.
    std::map<std::string, std::set<std::pair<std::uint64_t, std::string>>> idsByZone;
    this->state.backends.forEach([&](const std::string &id, const BackendServer &server) {
        if (server.service == service && server.stage == from && !server.draining
            && !this->state.statements.isSilent(id, this->state.environment.now())) {
            idsByZone[server.zone].insert({hash64(id), id});
        }
    });
    for (int i = 0; i < count && !idsByZone.empty(); ++i) {
        const auto largest = std::max_element(idsByZone.begin(), idsByZone.end(), [](const auto &a, const auto &b) {
            return a.second.size() < b.second.size();
        });
        if (largest->second.empty()) {
            return;
        }
        const auto first = largest->second.begin();
        plan.stages[first->second] = target;
        largest->second.erase(first);
    }
}

}
