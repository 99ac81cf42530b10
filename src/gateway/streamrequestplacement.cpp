// The part of StreamRequestHandler that places a request at a decode engine and tracks its work there.

#include "asioutil.h"
#include "capacitywaiter.h"
#include "httpsession.h"
#include "routerstate.h"
#include "streamrequesthandler.h"
#include "waitorder.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/httpclientconnection.h"
#include "cyclamencross/route/placement.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Cyclamen
{

namespace
{

constexpr Millis ReleaseTimeout{500};
// Share of the target latency of the first event within which a request must find capacity to be on time. The rest is
// for processing the prompt.
constexpr double OnTimeShare = 0.6;
// A late request waits for capacity for this many times the target latency. Callers disconnect if there is no first
// event after four times the target.
constexpr int LateWaitFactor = 3;
// A stream that has begun waits for capacity at another engine for this many times the route's target for the gap
// between events. Callers disconnect after eight times.
constexpr int ResumeWaitFactor = 6;
// Lifetime requested for a capacity reservation: longer than a prefill takes, including the time in its queue.
constexpr Millis ReservationLifetime{1500};
constexpr Millis ReservationTimeout{300};
// Share of the expected output that a capacity reservation covers. The rest is generated after the reservation has
// expired, when other requests have ended.
constexpr double ReservedOutputShare = 0.25;
// A stream that has exceeded its expected output is expected to generate this share of its output again.
constexpr double MinRemainingShare = 0.15;
// Output that the forecast allows for, relative to the expected one. A stream that no longer fits is preempted, and the
// repeated processing of its prompt delays all other streams of the engine.
constexpr double OutputMargin = 1.8;
// Shortest time between two updates of a stream's forecast.
constexpr Millis WorkUpdatePeriod{150};

boost::asio::awaitable<void> sendAndForget(RouterState &state, const BackendCodec &codec, BackendServer server,
                                           std::string call)
{
    const auto connection = co_await state.connections.open(server.address, RequestHandler::ConnectTimeout);
    if (!connection || state.statements.pausedUntil(server.id, Clock::now())) {
        co_return;
    }
    const TimePoint until = Clock::now() + ReleaseTimeout;
    // The resource expires at the end of its lifetime anyway, so a failed release is not retried.
    std::optional<std::string> noBody;
    const ConnectionStatus status = co_await connection->performRequest(std::move(call), std::move(noBody), until);
    if (status == ConnectionStatus::Ok) {
        const BackendResponseHead head = codec.decodeResponseHead(connection->status(), connection->headers());
        state.recordStatements(server, head, false, Clock::now());
    }
    connection->close();
}

}

boost::asio::awaitable<bool> StreamRequestHandler::reserveDecodeEngine()
{
    this->releaseReservation(); // At the engine of an attempt that did not reach it.
    if (const auto moved = std::exchange(this->moveTarget, std::nullopt)) {
        this->useDecodeEngine(*moved);
        this->reservationToken = std::exchange(this->moveToken, std::string());
        this->logDecodePlacement(nullptr);
        co_return true;
    }
    const TimePoint start = Clock::now();
    const CapacityWait wait = this->capacityWait();
    const std::int64_t tokens = this->request.promptTokens + this->estimate.tokens;
    CapacityWaiter waiter(this->state, this->service, wait,
                          !this->session.isResponseStarted() && !this->mayHaveExecuted,
                          this->makeWaitOrder(wait, tokens));
    while (!this->shouldStop()) {
        if (this->shouldHandOn()) {
            this->failure = "cut-off";
            break;
        }
        const CapacityWait::Action action = waiter.nextAction();
        const bool tries = action == CapacityWait::Action::Try || action == CapacityWait::Action::TryLast;
        if (tries && this->chooseDecodeEngine()) {
            const bool acquired = co_await this->acquireReservation();
            if (acquired) {
                this->recordRoom(waiter.order(), tokens);
                this->logDecodePlacement(waiter.order());
                co_return true;
            }
            this->permit = nullptr;
            continue;
        }
        if (this->isVersionGone()) {
            this->failure = "version-gone";
            this->returnsInVain = true;
            break;
        }
        const auto silentUntil = this->silentUntil(this->excluded);
        // A request that may have run can't be refused any more, so it waits for a pause that ends in time.
        if (silentUntil && (!this->mayHaveExecuted || *silentUntil > wait.endsAt())) {
            this->setSilenceFailure();
            break;
        }
        const bool isLast = action == CapacityWait::Action::TryLast || action == CapacityWait::Action::GiveUp;
        if (isLast || this->unreachableCount >= MaxUnreachableEngines) {
            this->failure = this->noCapacityReason();
            this->overloaded = this->overloaded && this->unreachableCount < MaxUnreachableEngines;
            this->recordNoRoom(waiter.order());
            break;
        }
        co_await waiter.pause();
    }
    LogLine line("no-room");
    line.add("request", this->request.id)
        .add("reason", this->failure)
        .add("waited_ms", std::int64_t(toSeconds(Clock::now() - start) * 1000))
        .add("used_before_ms", std::int64_t(this->timeSpentBefore.count()));
    if (waiter.order() != nullptr) {
        waiter.order()->describe(line);
    }
    line.write();
    co_return false;
}

CapacityWait StreamRequestHandler::capacityWait() const
{
    if (this->session.isResponseStarted()) {
        const Millis maxWait = this->route.eventGapTarget * ResumeWaitFactor;
        return CapacityWait(Clock::now(), maxWait, maxWait);
    }
    const Millis target = this->route.targetLatency;
    const Millis maxWait = std::min(target * LateWaitFactor, this->route.timeout / 4);
    // An earlier attempt that was refused for lack of capacity waited that long, so the caller's target has passed.
    const bool refusedBefore = this->timeSpentBefore >= maxWait;
    const Millis onTimeFor = refusedBefore ? Millis(0) : std::chrono::duration_cast<Millis>(target * OnTimeShare);
    return CapacityWait(this->request.received, onTimeFor, maxWait);
}

bool StreamRequestHandler::isCutByStop() const
{
    if (!this->state.stopSchedule) {
        return false;
    }
    Millis generation(std::int64_t(double(this->estimate.tokens) * this->estimate.millisPerToken * OutputMargin));
    if (this->state.hasOtherRouters()) {
        generation = std::max(generation, this->longestDuration());
    }
    return !this->state.stopSchedule->canFinish(Clock::now(), this->route.targetLatency + generation);
}

void StreamRequestHandler::logDecodePlacement(const WaitOrder *order) const
{
    LogLine line("placement");
    line.add("request", this->request.id)
        .add("stage", "decode")
        .add("candidates", std::int64_t(this->candidateCount))
        .add("backend", this->decodeCandidate.server.id)
        .add("version", this->decodeCandidate.server.version)
        .add("in_flight", this->decodeCandidate.work.requests)
        .add("memory_tokens", this->decodeCandidate.work.kvCache.tokens().front())
        .add("memory_peak", this->decodeCandidate.work.kvCache.peak())
        .add("expected_output", this->estimate.tokens)
        .add("failure_rate", this->decodeCandidate.failureRate)
        .add("avoided", this->decodeCandidate.avoided)
        .add("other_group", this->decodeCandidate.ofOtherGroup)
        .add("zone", this->decodeCandidate.server.zone)
        .add("slowness", this->decodeCandidate.slowness)
        .add("told_slowdown", this->decodeCandidate.toldSlowdown.factor)
        .add("told_age_ms", std::int64_t(this->decodeCandidate.toldSlowdown.age.count()))
        .add("told_to", this->decodeCandidate.toldSlowdown.isFromPeer ? "peer" : "own");
    if (order != nullptr) {
        order->describe(line);
    }
    line.write();
}

boost::asio::awaitable<bool> StreamRequestHandler::acquireReservation()
{
    const ServiceConfig *config = this->table->service(this->service);
    const Millis maxLifetime = config != nullptr && config->engine ? config->engine->reservationLifetime : Millis(0);
    if (maxLifetime <= Millis(0)) {
        co_return true;
    }
    const BackendServer server = *this->decodeEngine;
    bool open = co_await this->openConnection(server, false);
    if (!open || this->shouldStop() || !this->state.isUsable(server, Clock::now())) {
        this->decodeEngine = std::nullopt;
        co_return false;
    }
    const auto request = this->codec.reserveCall(this->reservedTokens(this->decodeCandidate),
                                                 std::min(maxLifetime, ReservationLifetime));
    const TimePoint until = std::min(this->deadline, Clock::now() + ReservationTimeout);
    ConnectionStatus status = co_await this->connection->performRequest(request.first, request.second, until);
    if (status == ConnectionStatus::Broken && this->connectionReused && !this->shouldStop()) {
        // An engine may close an idle connection at any moment, which says nothing about the engine.
        this->connection->close();
        open = co_await this->openConnection(server, true);
        if (!open || this->shouldStop() || !this->state.isUsable(server, Clock::now())) {
            this->decodeEngine = std::nullopt;
            co_return false;
        }
        status = co_await this->connection->performRequest(request.first, request.second, until);
    }
    if (status != ConnectionStatus::Ok) {
        this->connection->close();
        this->recordOutcome(server, CallOutcome::Broken);
        this->checkReach();
        this->excluded.insert(server.id);
        ++this->unreachableCount;
        this->decodeEngine = std::nullopt;
        co_return false;
    }
    const int code = this->connection->status();
    this->state.recordStatements(server, this->codec.decodeResponseHead(code, this->connection->headers()), false,
                                 Clock::now());
    LogLine("reservation").add("request", this->request.id).add("backend", server.id).add("status", code).write();
    const auto token = code == 200 ? this->codec.decodeReservation(this->connection->takeBody()) : std::nullopt;
    this->releaseConnection(server);
    this->state.recordOverflow(this->service, this->decodeCandidate, token.has_value(), Clock::now());
    if (token) {
        this->reservationToken = *token;
        if (this->state.isUsable(server, Clock::now())) {
            co_return true;
        }
        this->releaseReservation();
        this->decodeEngine = std::nullopt;
        co_return false;
    }
    this->state.metrics.count("cyclamencross_holds_refused_total");
    this->state.markFull(server.id, Clock::now());
    this->workReservation = nullptr;
    this->decodeEngine = std::nullopt;
    co_return false;
}

void StreamRequestHandler::releaseReservation()
{
    if (!this->reservationToken.empty() && this->decodeEngine) {
        this->callAndForget(*this->decodeEngine, this->codec.releaseReservationCall(this->reservationToken));
    }
    this->reservationToken.clear();
}

void StreamRequestHandler::callAndForget(const BackendServer &server, const std::string &call)
{
    if (this->state.statements.pausedUntil(server.id, Clock::now())) {
        return;
    }
    boost::asio::co_spawn(this->state.executor, sendAndForget(this->state, this->codec, server, call),
                          boost::asio::detached);
}

std::optional<PlacementCandidate> StreamRequestHandler::findDecodeEngine(std::size_t &candidateCount) const
{
    const ServiceConfig *config = this->table->service(this->service);
    const double capacity = config != nullptr && config->engine ? double(config->engine->kvCacheTokens) : 0;
    const EngineStage stage = this->servingStage();
    const TimePoint now = Clock::now();
    const auto choose = [&](const std::vector<PlacementCandidate> &from) {
        return Placement::chooseDecode(from, this->requestWork().kvCache, capacity,
                                       [this] { return this->state.random(); });
    };
    auto candidates = this->state.candidates(this->service, stage, this->excluded, this->state.settings.zone, now,
                                             [this](const BackendServer &server) { return this->mayUse(server); });
    auto choice = choose(candidates);
    if (!choice) {
        for (auto &sample : this->otherGroupsCandidates(Placement::hasUsableCandidate(candidates))) {
            candidates = std::move(sample);
            choice = choose(candidates);
            if (choice) {
                break;
            }
        }
    }
    candidateCount = candidates.size();
    return choice ? std::optional<PlacementCandidate>(candidates[*choice]) : std::nullopt;
}

std::vector<std::vector<PlacementCandidate>> StreamRequestHandler::otherGroupsCandidates(bool ownUsable) const
{
    const TimePoint now = Clock::now();
    const EngineStage stage = this->servingStage();
    const auto mayUse = [this](const BackendServer &server) { return this->mayUse(server); };
    if (!this->state.hasZoneGroups()) {
        if (ownUsable) {
            return {};
        }
        return {this->state.sampleOtherGroups(this->service, stage, this->excluded, now, std::nullopt, mayUse)};
    }
    const ServiceConfig *config = this->table->service(this->service);
    const bool canRefuse = config != nullptr && config->engine && config->engine->reservationLifetime > Millis(0);
    // Only engines that refuse what exceeds their room are safe from the requests of other groups. Late requests wait
    // for those of the own group: room elsewhere is for requests that it can serve on time.
    if (ownUsable && (!canRefuse || !this->capacityWait().isOnTime(now))) {
        return {};
    }
    std::vector<std::vector<PlacementCandidate>> result;
    for (const bool ofOwnZone : {true, false}) {
        if (!ownUsable || this->state.mayAskOtherGroups(this->service, ofOwnZone, now)) {
            result.push_back(
                this->state.sampleOtherGroups(this->service, stage, this->excluded, now, ofOwnZone, mayUse));
        }
    }
    return result;
}

bool StreamRequestHandler::chooseDecodeEngine()
{
    this->workReservation = nullptr;
    this->permit = nullptr;
    this->decodeEngine = std::nullopt;
    const std::optional<PlacementCandidate> chosen = this->findDecodeEngine(this->candidateCount);
    if (!chosen) {
        return false;
    }
    this->useDecodeEngine(*chosen);
    return true;
}

void StreamRequestHandler::useDecodeEngine(const PlacementCandidate &chosen)
{
    this->decodeEngine = chosen.server;
    this->workReservation = std::make_unique<WorkReservation>(this->state.work, chosen.server.id, this->requestWork());
    this->permit = std::make_unique<RequestPermit>(this->state.namedLimits, chosen.server.id);
    this->decodeCandidate = chosen;
}

boost::asio::awaitable<bool> StreamRequestHandler::prepareMove(std::shared_ptr<StreamProgress> callProgress)
{
    std::size_t candidates = 0;
    const auto target = this->findDecodeEngine(candidates);
    if (!target) {
        co_return false;
    }
    const ServiceConfig *config = this->table->service(this->service);
    const Millis maxLifetime = config != nullptr && config->engine ? config->engine->reservationLifetime : Millis(0);
    std::string token;
    if (maxLifetime > Millis(0)) {
        const auto call =
            this->codec.reserveCall(this->reservedTokens(*target), std::min(maxLifetime, ReservationLifetime));
        RouterState &sharedState = this->state;
        const auto reserving = co_await sharedState.connections.open(target->server.address, ConnectTimeout);
        if (!reserving || callProgress->finished) {
            co_return false;
        }
        const TimePoint until = Clock::now() + ReservationTimeout;
        const ConnectionStatus status = co_await reserving->performRequest(call.first, call.second, until);
        reserving->close();
        if (callProgress->finished) {
            co_return false; // This object may be gone. The engine ends an unused reservation by itself.
        }
        const bool granted = status == ConnectionStatus::Ok && reserving->status() == 200;
        token = granted ? this->codec.decodeReservation(reserving->takeBody()).value_or("") : "";
        sharedState.recordOverflow(this->service, *target, !token.empty(), Clock::now());
        if (token.empty()) {
            sharedState.markFull(target->server.id, Clock::now());
            co_return false;
        }
    }
    const bool silent = Clock::now() - callProgress->lastActivity >= MinStallTimeout;
    if (!silent || !this->reserveRetry()) {
        if (!token.empty()) {
            this->callAndForget(target->server, this->codec.releaseReservationCall(token));
        }
        co_return false;
    }
    this->moveTarget = target;
    this->moveToken = token;
    co_return true;
}

BackendWork StreamRequestHandler::requestWork() const
{
    const auto generated = std::int64_t(double(this->eventCount) * this->estimate.tokensPerEvent);
    const auto moreThanGenerated = std::int64_t(double(generated) * MinRemainingShare);
    const std::int64_t remaining = std::max(this->estimate.tokens - generated, moreThanGenerated);
    // A slow engine keeps the request in its KV cache for longer.
    const double slowness = this->decodeEngine ? this->state.health.slowness(this->decodeEngine->id, Clock::now()) : 1;
    return BackendWork{1, 0,
                       KvCacheForecast::ofRequest(this->request.promptTokens + generated,
                                                  std::int64_t(double(remaining) * OutputMargin),
                                                  this->estimate.millisPerToken * slowness)};
}

std::int64_t StreamRequestHandler::reservedTokens(const PlacementCandidate &engine) const
{
    // At an engine of another group only the engine itself knows how full it is.
    const double share = engine.ofOtherGroup ? OutputMargin : ReservedOutputShare;
    return this->request.promptTokens + std::int64_t(double(this->estimate.tokens) * share);
}

void StreamRequestHandler::updateWork(TimePoint now)
{
    if (!this->workReservation || now - this->lastWorkUpdate < WorkUpdatePeriod) {
        return;
    }
    const double tokens = double(this->eventCount - this->eventsAtUpdate) * this->estimate.tokensPerEvent;
    if (tokens > 0 && this->lastWorkUpdate >= this->attemptStart) {
        const double pace = toSeconds(now - this->lastWorkUpdate) * 1000 / tokens;
        this->state.recordPace(this->decodeEngine->id, pace, now);
    }
    this->lastWorkUpdate = now;
    this->eventsAtUpdate = this->eventCount;
    this->workReservation->update(this->requestWork());
}

void StreamRequestHandler::recordStream(TimePoint now)
{
    if (this->eventCount < 2 || this->request.lastEventId) {
        return; // The number of events says nothing about the pace or the whole output.
    }
    const double millis = toSeconds(now - this->firstChunkTime) * 1000;
    this->state.recordStream(StreamSample{this->route.name, this->service, this->request.expectedOutputTokens,
                                          this->eventCount, millis / double(this->eventCount - 1)});
}

}
