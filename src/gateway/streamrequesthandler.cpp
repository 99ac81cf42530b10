#include "streamrequesthandler.h"

#include "asioutil.h"
#include "httpsession.h"
#include "routerstate.h"
#include "streamoriginkeeper.h"

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

// Maximum number of decode calls sent for one request, whatever the route allows.
constexpr int MaxDecodeCalls = 6;
// A prefill call times out after this many times its expected duration; the decode engine then processes the prompt.
constexpr double PrefillTimeoutFactor = 4;
constexpr Millis MinPrefillTimeout{400};
constexpr Millis MaxPrefillTimeout{1500};
// Time for a prompt at a decode engine relative to a prefill engine. Decode engines process prompts at half the speed
// and interleave them with the tokens of other requests.
constexpr double DirectPrefillFactor = 2.5;
// Share of the target latency of the first event up to which a prefill engine is used even if the decode engine would
// be faster.
constexpr double AcceptableWaitShare = 0.5;
// A silent engine is probed after this many times the route's target for the gap between events.
constexpr int StallTimeoutFactor = 3;
constexpr Millis StallCheckPeriod{100};
constexpr Millis OriginPollPeriod{50};

}

boost::asio::awaitable<void> StreamRequestHandler::serve()
{
    this->failure = "no-engine";
    this->lastEventId = this->request.lastEventId;
    const Millis timeout = this->route.timeout;
    this->timeSpentBefore = this->state.callerWaitEstimator.elapsedBefore(
        this->route.name, this->request.timeLeft.value_or(timeout), timeout, Clock::now());
    this->estimate = this->state.outputEstimator.estimate(
        this->route.name, this->service, this->request.expectedOutputTokens, this->request.maxOutputTokens);
    if (this->isCutByStop()) {
        co_await this->finishWithFailure("stopping");
        co_return;
    }
    if (this->request.lastEventId) {
        const bool known = co_await this->findOrigin();
        if (!known) {
            this->returnsInVain = true;
            co_await this->finishWithFailure("stream-origin-unknown");
            co_return;
        }
    }
    const bool reserved = co_await this->reserveDecodeEngine();
    if (reserved && this->isCutByStop()) {
        this->releaseReservation(); // The request has waited for capacity for too long.
        co_await this->finishWithFailure("stopping");
        co_return;
    }
    if (reserved) {
        co_await this->prefill();
    }
    int calls = 0;
    while (calls < MaxDecodeCalls && this->decodeEngine && !this->shouldStop()) {
        if (this->unreachableCount >= MaxUnreachableEngines) {
            break;
        }
        if (!this->reserveRetry()) {
            this->failure += ",retry-budget";
            break;
        }
        const bool hadKvCache = this->kvCache.has_value();
        const AttemptResult result = co_await this->decode();
        calls += result == AttemptResult::Unreachable ? 0 : 1;
        if (result == AttemptResult::Done) {
            co_return;
        }
        if (this->shouldStop() || (result == AttemptResult::MayHaveExecuted && !this->route.mayRepeat())) {
            break;
        }
        const bool retrySameEngine = result == AttemptResult::NotExecuted && hadKvCache
            && this->state.isUsable(*this->decodeEngine, Clock::now());
        if (retrySameEngine) {
            continue; // The KV cache was gone; the same engine now processes the prompt itself.
        }
        if (result != AttemptResult::Unreachable && !this->hasAttemptsLeft()) {
            break;
        }
        const bool reservedAgain = co_await this->reserveDecodeEngine();
        if (!reservedAgain) {
            break;
        }
    }
    this->releaseReservation();
    this->releaseKvCache();
    const bool served = co_await this->serveByPeer();
    if (!served) {
        co_await this->finishWithFailure(this->failure);
    }
}

std::optional<std::int64_t> StreamRequestHandler::resumePoint() const
{
    return this->lastEventId;
}

boost::asio::awaitable<bool> StreamRequestHandler::forwardPeerResponse()
{
    if (this->connection->status() != 200) {
        co_return co_await RequestHandler::forwardPeerResponse();
    }
    this->workReservation = nullptr;
    this->decodeEngine = std::nullopt;
    this->progress = std::make_shared<StreamProgress>();
    if (!this->session.isResponseStarted()) {
        co_await this->session.startStream(200, this->connection->reason(), this->connection->headers());
    }
    const ConnectionStatus status = co_await this->forwardBody();
    if (this->session.isCallerDisconnected()) {
        this->outcome = "caller-gone";
        co_return true;
    }
    if (status != ConnectionStatus::Ok || !this->inOrder || this->splitter.hasPartialEvent()) {
        co_return false;
    }
    this->outcome = "handed-on";
    co_await this->session.endStream();
    co_return true;
}

boost::asio::awaitable<ConnectionStatus> StreamRequestHandler::forwardBody()
{
    this->splitter = EventSplitter(MemoryLease(this->state.bodyMemory, MemoryBudget::Use::ResponseBody));
    this->inOrder = true;
    ConnectionStatus status = ConnectionStatus::Ok;
    while (status == ConnectionStatus::Ok && this->inOrder && !this->session.isCallerDisconnected()) {
        this->inOrder = co_await this->forwardEvents(this->connection->takeBody());
        if (this->splitter.isRefused()) {
            co_return ConnectionStatus::NoMemory;
        }
        if (this->connection->isComplete()) {
            break;
        }
        status = co_await this->connection->readSome(this->deadline);
    }
    co_return status;
}

boost::asio::awaitable<bool> StreamRequestHandler::findOrigin()
{
    const std::string workspaceName = this->workspace != nullptr ? this->workspace->name : std::string();
    const std::uint64_t key = StreamOrigins::keyOf(this->service, workspaceName, this->request.resumedId);
    const bool namesStream = !this->request.resumedId.empty();
    const TimePoint end = Clock::now() + StreamOriginKeeper::newsDelay(this->state.groupCount());
    std::string source = "known";
    while (!this->streamVersion && !this->shouldStop()) {
        if (const std::string *version = this->state.streamOrigins.find(key); version && namesStream) {
            this->streamVersion = *version;
        } else if ((this->streamVersion = this->state.onlyVersion(this->service))) {
            source = "only-version";
        } else if (Clock::now() >= end) {
            break;
        } else {
            co_await sleepFor(OriginPollPeriod);
        }
    }
    source = this->streamVersion ? source : "unknown";
    this->state.metrics.count("cyclamencross_streams_taken_up_total", {{"origin", source}});
    LogLine("stream-taken-up")
        .add("request", this->request.id)
        .add("resumed", this->request.resumedId)
        .add("origin", source)
        .add("version", this->streamVersion.value_or(""))
        .add("serving", this->streamVersion && !this->isVersionGone())
        .write();
    co_return this->streamVersion.has_value();
}

void StreamRequestHandler::recordOrigin()
{
    if (this->originRecorded || !this->route.mayRepeat() || !this->decodeEngine) {
        return;
    }
    this->originRecorded = true;
    this->streamVersion = this->decodeEngine->version;
    const std::string workspaceName = this->workspace != nullptr ? this->workspace->name : std::string();
    const std::string &id = this->request.lastEventId ? this->request.resumedId : this->request.id;
    if (id.empty()) {
        return; // It would stand for all streams whose callers name none.
    }
    this->state.streamOrigins.begin(this->service, StreamOrigins::keyOf(this->service, workspaceName, id),
                                    *this->streamVersion, std::max(this->callerTimeLeft(), this->route.timeout),
                                    Clock::now());
}

bool StreamRequestHandler::mayUse(const BackendServer &server) const
{
    if (this->streamVersion) {
        return server.version == *this->streamVersion;
    }
    return !this->route.mayRepeat() || this->state.serviceVersions.isOpen(this->service, server.version);
}

bool StreamRequestHandler::isVersionGone() const
{
    return this->streamVersion && !this->state.isVersionServing(this->service, *this->streamVersion);
}

boost::asio::awaitable<void> StreamRequestHandler::prefill()
{
    const double tokens = double(std::max<std::int64_t>(1, this->request.promptTokens));
    // What one version has computed is of no use to another.
    const auto hasSameVersion = [this](const BackendServer &server) {
        return server.version == this->decodeEngine->version;
    };
    const auto candidates = this->state.candidates(this->service, EngineStage::Prefill, {}, this->decodeEngine->zone,
                                                   Clock::now(), hasSameVersion);
    const auto choice = Placement::choosePrefill(candidates, tokens, [this] { return this->state.random(); });
    if (!choice || candidates[*choice].avoided) {
        co_return;
    }
    const PlacementCandidate &chosen = candidates[*choice];
    const double millisPerToken = chosen.expectedMillisPerToken();
    const double queuedTokens = double(chosen.work.promptTokens);
    const double slowdown = Placement::expectedSlowdowns(candidates)[*choice];
    const Millis expectedPrefill{std::int64_t((queuedTokens + tokens) * millisPerToken * slowdown)};
    const Millis directPrefill{std::int64_t(tokens * millisPerToken * DirectPrefillFactor)};
    const Millis acceptableWait{std::int64_t(double(this->route.targetLatency.count()) * AcceptableWaitShare)};
    const bool usePrefillEngine = expectedPrefill <= std::max(directPrefill, acceptableWait);
    LogLine("placement")
        .add("request", this->request.id)
        .add("stage", "prefill")
        .add("candidates", std::int64_t(candidates.size()))
        .add("backend", chosen.server.id)
        .add("version", chosen.server.version)
        .add("prompt_tokens_ahead", chosen.work.promptTokens)
        .add("expected_ms", std::int64_t(expectedPrefill.count()))
        .add("used", usePrefillEngine)
        .add("zone", chosen.server.zone)
        .add("told_slowdown", chosen.toldSlowdown.factor)
        .add("told_age_ms", std::int64_t(chosen.toldSlowdown.age.count()))
        .add("told_to", chosen.toldSlowdown.isFromPeer ? "peer" : "own")
        .write();
    if (!usePrefillEngine) {
        co_return;
    }
    const BackendServer server = chosen.server;
    const WorkReservation prefillReservation(this->state.work, server.id,
                                             BackendWork{1, this->request.promptTokens, {}});
    RequestPermit prefillPermit(this->state.namedLimits, server.id);
    const bool open = co_await this->openConnection(server, false);
    if (!open || this->shouldStop() || !this->state.isUsable(server, Clock::now())) {
        co_return;
    }
    if (!prefillPermit.renew()) {
        this->releaseConnection(server);
        co_return;
    }
    BackendCall call;
    call.stage = EngineStage::Prefill;
    this->send(server, call, prefillPermit);
    const TimePoint start = Clock::now();
    const Millis prefillTimeout =
        std::clamp(Millis(std::int64_t(double(expectedPrefill.count()) * PrefillTimeoutFactor)), MinPrefillTimeout,
                   MaxPrefillTimeout);
    const TimePoint until = std::min(this->deadline, start + prefillTimeout);
    const ConnectionStatus status = co_await this->readMatchingResponse(server, until);
    if (this->session.isCallerDisconnected()) {
        co_return;
    }
    if (status == ConnectionStatus::Ok && this->connection->status() == 200) {
        this->kvCache = this->codec.decodePrefill(this->connection->takeBody());
    }
    if (this->kvCache) {
        --this->budgetedCalls; // A successful prefill call does not count against the retry budget.
        this->prefillEngine = server;
        // The average is that of the usual pace of the machine, which the choice multiplies with the present one.
        const Slowdown after = this->state.slowdowns.find(server.id, Clock::now());
        const double meanSlowdown = (chosen.toldSlowdown.known() + after.known()) / 2;
        this->state.health.addPrefillSample(
            server.id, toSeconds(Clock::now() - start) * 1000 / (queuedTokens + tokens) / meanSlowdown);
        this->recordOutcome(server, CallOutcome::Served);
        this->releaseConnection(server);
        co_return;
    }
    const bool rejected = status == ConnectionStatus::Ok && this->response.notExecuted;
    this->failure = rejected ? "prefill-rejected" : "prefill-failed";
    this->recordOutcome(server, rejected ? CallOutcome::Rejected : CallOutcome::Broken);
    if (status == ConnectionStatus::Broken) {
        this->startCrashProbe(server);
    }
    this->attempts += rejected && !this->response.wrongBackend ? 1 : 0;
    this->connection->close();
    LogLine("prefill-failed")
        .add("request", this->request.id)
        .add("backend", server.id)
        .add("reason", this->failure)
        .add("ms", std::int64_t(toSeconds(Clock::now() - start) * 1000))
        .write();
}

boost::asio::awaitable<StreamRequestHandler::AttemptResult> StreamRequestHandler::decode()
{
    const BackendServer server = *this->decodeEngine;
    if (this->permit->isUsed()) {
        if (!this->state.namedLimits->mayRequest(server.id)) {
            this->failure = "at-limit";
            co_return AttemptResult::Unreachable;
        }
        this->permit = std::make_unique<RequestPermit>(this->state.namedLimits, server.id);
    }
    const bool open = co_await this->openConnection(server, !this->route.mayRepeat());
    if (!open) {
        this->failure = "unreachable";
        co_return AttemptResult::Unreachable;
    }
    if (this->shouldStop() || !this->state.isUsable(server, Clock::now())) {
        this->failure = "engine-left";
        this->excluded.insert(server.id);
        co_return AttemptResult::Unreachable;
    }
    if (!this->permit->renew()) {
        this->failure = "at-limit";
        this->releaseConnection(server);
        co_return AttemptResult::Unreachable;
    }
    BackendCall call;
    call.stage = EngineStage::Decode;
    call.resumeAfter = this->lastEventId;
    if (this->kvCache) {
        call.kvCacheAddress = this->prefillEngine->address;
        call.kvCacheHandle = this->kvCache->handle;
    }
    this->kvCache = std::nullopt;
    call.reservationToken = std::exchange(this->reservationToken, std::string());
    this->excluded.insert(server.id);
    ++this->attempts;
    this->attemptStart = Clock::now();
    this->send(server, call, *this->permit);
    this->progress = std::make_shared<StreamProgress>();
    if (this->route.mayRepeat() && this->hasAttemptsLeft()) {
        const Millis stallTimeout = std::max(MinStallTimeout, this->route.eventGapTarget * StallTimeoutFactor);
        boost::asio::co_spawn(this->state.executor, this->watchForStall(this->connection, this->progress, stallTimeout),
                              boost::asio::detached);
    }
    const AttemptResult result = co_await this->readResponse(server);
    this->progress->finished = true;
    co_return result;
}

boost::asio::awaitable<void> StreamRequestHandler::watchForStall(std::shared_ptr<HttpClientConnection> watched,
                                                                 std::shared_ptr<StreamProgress> callProgress,
                                                                 Millis stallTimeout)
{
    // This object may be gone whenever `finished` is set, so that is checked after each wait.
    if (callProgress->finished) {
        co_return;
    }
    RouterState &sharedState = this->state;
    std::optional<TimePoint> refusedAt; // When the engine last accepted no connection.
    while (!callProgress->finished) {
        co_await sleepFor(StallCheckPeriod);
        if (callProgress->finished || Clock::now() - callProgress->lastActivity < stallTimeout) {
            refusedAt = std::nullopt;
            continue;
        }
        if (!refusedAt || Clock::now() - *refusedAt >= stallTimeout) {
            const ConnectionStatus probe = co_await sharedState.connections.probe(watched->address(), ConnectTimeout);
            refusedAt = probe == ConnectionStatus::Ok ? std::nullopt : std::optional(Clock::now());
            if (refusedAt && sharedState.onUnreachable && !callProgress->finished) {
                sharedState.onUnreachable(this->service);
            }
        }
        if (!refusedAt) {
            callProgress->lastActivity = Clock::now();
            continue;
        }
        if (callProgress->finished || Clock::now() - callProgress->lastActivity < stallTimeout) {
            continue;
        }
        const bool isCutOff = this->shouldHandOn();
        const bool prepared = isCutOff || co_await this->prepareMove(callProgress);
        if (!prepared) {
            continue;
        }
        LogLine("stream-moved")
            .add("request", this->request.id)
            .add("backend", this->decodeEngine->id)
            .add("reason", isCutOff ? "cut off" : "silent, accepts no connection")
            .add("last_event", this->lastEventId.value_or(-1))
            .write();
        watched->close();
        co_return;
    }
}

boost::asio::awaitable<StreamRequestHandler::AttemptResult> StreamRequestHandler::readResponse(BackendServer server)
{
    const TimePoint until = this->deadline;
    const ConnectionStatus status = co_await this->readMatchingHead(server, until);
    if (status != ConnectionStatus::Ok) {
        this->mayHaveExecuted = true;
        this->failCall(server, status);
        co_return AttemptResult::MayHaveExecuted;
    }
    if (this->response.notExecuted) {
        this->failure = this->response.wrongBackend ? "wrong-backend" : "rejected";
        this->recordOutcome(server, CallOutcome::Rejected);
        co_await this->readBody(until);
        this->releaseConnection(server);
        co_return AttemptResult::NotExecuted;
    }
    this->mayHaveExecuted = true;
    const int code = this->connection->status();
    if (code == 200 && this->response.isSigned && !this->response.hasContentEncoding) {
        co_return co_await this->relayEvents();
    }
    const ConnectionStatus rest = co_await this->readBody(until);
    if (rest == ConnectionStatus::NoMemory) {
        this->failCall(server, rest);
        co_return AttemptResult::MayHaveExecuted;
    }
    const bool valid = this->isValidResponse(rest);
    this->failure = valid ? "status-" + std::to_string(code) : "malformed";
    this->recordOutcome(server, !valid || code >= 500 ? CallOutcome::Failed : CallOutcome::Served);
    const bool retryable = this->route.mayRepeat() && (code >= 500 || !valid) && this->hasAttemptsLeft();
    if (!valid || impliesNotExecuted(code) || this->session.isResponseStarted()
        || (retryable && this->reserveRetry())) {
        this->connection->close();
        co_return AttemptResult::MayHaveExecuted;
    }
    this->endWork();
    co_await this->forwardResponse(server);
    co_return AttemptResult::Done;
}

boost::asio::awaitable<StreamRequestHandler::AttemptResult> StreamRequestHandler::relayEvents()
{
    const BackendServer server = *this->decodeEngine;
    if (!this->session.isResponseStarted()) {
        co_await this->session.startStream(200, this->connection->reason(), this->connection->headers());
    }
    if (!this->route.mayRepeat()) {
        this->request.body = RequestBody(); // The request is not sent again.
    }
    const ConnectionStatus status = co_await this->forwardBody();
    if (this->session.isCallerDisconnected()) {
        this->failure = "caller-gone";
        co_return AttemptResult::MayHaveExecuted;
    }
    // An engine that crashes before the first event ends a stream of this form like one that has finished.
    const bool lacksEvents = this->connection->endsWithConnection() && !this->outputStart;
    if (status == ConnectionStatus::Ok && this->inOrder && !lacksEvents && !this->splitter.hasPartialEvent()) {
        this->recordOutcome(server, CallOutcome::Served);
        this->recordServed(Clock::now());
        this->recordStream(this->lastChunkTime);
        this->outcome = "streamed";
        this->endWork();
        this->releaseConnection(server);
        co_await this->session.endStream();
        co_return AttemptResult::Done;
    }
    const bool endedEarly = status == ConnectionStatus::Ok && this->inOrder;
    this->failCall(server, endedEarly ? ConnectionStatus::Broken : status);
    if (!this->inOrder) {
        this->failure = "out-of-order";
    }
    LogLine("stream-broken")
        .add("request", this->request.id)
        .add("backend", server.id)
        .add("version", server.version)
        .add("reason", this->failure)
        .add("last_event", this->lastEventId.value_or(-1))
        .write();
    co_return AttemptResult::MayHaveExecuted;
}

boost::asio::awaitable<bool> StreamRequestHandler::forwardEvents(const std::string &bytes)
{
    std::string events;
    bool ordered = true;
    for (EventSplitter::Event &event : this->splitter.feed(bytes)) {
        ordered = !event.id || !this->lastEventId || *event.id > *this->lastEventId;
        if (!ordered) {
            break; // The events before this one are valid and count as received by the caller.
        }
        this->lastEventId = event.id ? event.id : this->lastEventId;
        ++this->eventCount;
        events += event.text;
    }
    if (!events.empty()) {
        this->recordOrigin();
        this->recordChunk();
        co_await this->passOn(events);
    }
    co_return ordered && !this->splitter.isOverlong();
}

void StreamRequestHandler::recordChunk()
{
    const TimePoint now = Clock::now();
    if (!this->timeToFirstChunk) {
        this->timeToFirstChunk = std::chrono::duration_cast<Millis>(now - this->request.received);
        this->firstChunkTime = now;
    } else {
        this->longestChunkGap =
            std::max(this->longestChunkGap, std::chrono::duration_cast<Millis>(now - this->lastChunkTime));
    }
    this->lastChunkTime = now;
    this->progress->lastActivity = now;
    this->recordOutput(now);
    this->updateWork(now);
}

void StreamRequestHandler::releaseKvCache()
{
    if (!this->kvCache) {
        return;
    }
    this->callAndForget(*this->prefillEngine, this->codec.releaseKvCacheCall(this->kvCache->handle));
    this->kvCache = std::nullopt;
}

}
