#include "modelrun.h"

#include "sseparser.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/crashledger.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr int MaxAttempts = 3;
constexpr Millis ShortWait{5}; // For asking a second engine before queueing at the first.
constexpr Millis LongestWait{10000}; // Bounds the queueing of requests that can wait.
constexpr Millis NoEngineRetryAfter{1000};
constexpr Millis ShortestRetryAfter{200};
constexpr Millis LongestRetryAfter{30000};
constexpr std::uint8_t CanWait = 2;

Millis since(TimePoint start)
{
    return std::chrono::duration_cast<Millis>(Clock::now() - start);
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}

ModelRun::ModelRun(ProxyCore &core, CallerExchange &exchange, ModelRequest modelRequest, FleetDefaults targets,
                   std::string requestId, std::uint64_t fingerprint, TimePoint arrival)
    : core(core)
    , exchange(exchange)
    , request(std::move(modelRequest))
    , targets(targets)
    , requestId(std::move(requestId))
    , fingerprint(fingerprint)
    , arrival(arrival)
    , workspaceLabel(core.workspaceLabel(this->request.workspace))
    , suspect(core.crashGuard.crashes(fingerprint) > 0)
    , selection(core, this->request.model, this->suspect)
    , relay(exchange, this->request, this->requestId, [this] { this->state.answering(); })
    , attemptId(this->requestId)
{
}

std::optional<CallerError> ModelRun::run()
{
    this->core.retries.addFresh(this->targets.retryBudget);
    while (true) {
        ++this->attempts;
        Step failure = this->attempt();
        if (!failure) {
            this->state.complete();
            this->answer = this->relay.finish();
            this->countDone();
            this->endAttempt();
            return std::nullopt;
        }
        this->endAttempt();
        const bool again = failure->retryable && this->relay.outputs() == 0 && this->attempts < MaxAttempts
            && !this->ended() && this->mayCrashAgain() && this->core.retries.takeRetry()
            && this->exchange.cancelSignal().sleep(this->core.retries.delay(this->attempts));
        if (!again) {
            failure->error.outcome = this->state.outcomeOnFailure();
            this->relay.fail(failure->error);
            return failure->error;
        }
        this->core.metrics.count("cyclamencross_retries_total", {{"kind", "model"}});
        this->suspect = this->core.crashGuard.crashes(this->fingerprint) > 0;
        this->selection.setSuspect(this->suspect);
        this->attemptId = this->core.newRequestId();
        LogLine("retry")
            .add("request", this->requestId)
            .add("attempt", this->attemptId)
            .add("reason", failure->error.message)
            .write();
    }
}

// An engine that restarts at once accepts connections again before its crash is noticed, so a request that broke off
// two engines is not tried on a third one, whether or not the crashes were confirmed.
bool ModelRun::mayCrashAgain() const
{
    return std::max(this->core.crashGuard.crashes(this->fingerprint), this->brokenOff) < CrashLedger::CrashesToContain;
}

const std::string &ModelRun::wholeAnswer() const
{
    return this->answer;
}

ModelRun::Step ModelRun::attempt()
{
    this->relay.expect(this->attemptId);
    if (Step failure = this->admitEarly()) {
        return failure;
    }
    if (Step failure = this->reserveDecode()) {
        return failure;
    }
    if (Step failure = this->reservePrefill()) {
        return failure;
    }
    if (this->attempts == 1) {
        this->core.metrics.observe("cyclamencross_queue_seconds", toSeconds(Clock::now() - this->arrival));
    }
    if (Step failure = this->prefill()) {
        return failure;
    }
    return this->decode();
}

ModelRun::Step ModelRun::admitEarly()
{
    if (Step failure = this->ended()) {
        return failure;
    }
    const auto prefills = this->selection.rankPrefills(this->request.promptTokens(), this->request.prefix());
    if (prefills.empty()) {
        return this->refuse("no-capacity", "no live engine can take the request", NoEngineRetryAfter);
    }
    // Before any room is taken, a request that cannot meet its target any more is turned away.
    const AdmissionDecision admission = admit(prefills.front(), this->core.transferEstimate(), Millis(0),
                                              this->leftUntilFirstOutput(), this->targets.wastedPrefillWeight);
    if (!admission.admitted) {
        this->logChoice("admission", prefills, "", "target-unreachable", admission);
        return this->refuse("overloaded", "the first output cannot come in time", admission.expected);
    }
    this->expectedPrefill = admission.expected;
    return std::nullopt;
}

ModelRun::Step ModelRun::reserveDecode()
{
    const auto decodes = this->selection.rankDecodes();
    if (decodes.empty()) {
        return this->refuse("no-capacity", "no live decode engine", NoEngineRetryAfter);
    }
    const Millis longest = std::clamp(this->leftUntilFirstOutput() - this->expectedPrefill, Millis(0), LongestWait);
    // Two engines are asked without queueing; then the request queues at the best one.
    std::vector<std::pair<std::string, Millis>> asks;
    for (std::size_t i = 0; i < std::min<std::size_t>(decodes.size(), 2); ++i) {
        asks.emplace_back(decodes[i].engine.address, std::min(ShortWait, longest));
    }
    asks.emplace_back(decodes.front().engine.address, longest);
    Millis expectedWait{0};
    for (const auto &[engine, wait] : asks) {
        auto hold = std::make_unique<EngineHold>(this->core, this->attemptId, this->suspect);
        SlotAsk ask = this->askFor(engine, wait);
        ask.slots = 1;
        const bool granted = hold->acquire(ask, this->exchange.cancelSignal());
        if (Step failure = this->ended()) {
            return failure;
        }
        if (granted) {
            this->logChoice("decode", decodes, engine, "free-slot", {});
            this->decodeHold = std::move(hold);
            return std::nullopt;
        }
        expectedWait = hold->refusedWait();
    }
    this->logChoice("decode", decodes, "", "no-free-slot", {});
    return this->refuse("no-capacity", "no decode engine has room in time", expectedWait);
}

ModelRun::Step ModelRun::reservePrefill()
{
    auto ranked = this->selection.rankPrefills(this->request.promptTokens(), this->request.prefix());
    if (ranked.empty()) {
        return this->refuse("no-capacity", "no live prefill engine", NoEngineRetryAfter);
    }
    RankedEngine best = ranked.front();
    const Millis spare =
        this->leftUntilFirstOutput() - this->core.transferEstimate() - Millis(static_cast<std::int64_t>(best.costMs));
    auto hold = std::make_unique<EngineHold>(this->core, this->attemptId, this->suspect);
    SlotAsk ask = this->askFor(best.engine.address, std::clamp(spare, Millis(0), LongestWait));
    ask.tokens = this->request.promptTokens();
    const bool granted = hold->acquire(ask, this->exchange.cancelSignal());
    if (Step failure = this->ended()) {
        return failure;
    }
    if (!granted) {
        this->logChoice("prefill", ranked, "", "no-room", {});
        return this->refuse("no-capacity", "no prefill engine has room in time", hold->refusedWait());
    }
    // The owner's answer is newer than the load that the first admission rested on.
    best.expectedWaitMs = static_cast<double>(hold->grant().expectedWait.count());
    const AdmissionDecision admission = admit(best, this->core.transferEstimate(), Millis(0),
                                              this->leftUntilFirstOutput(), this->targets.wastedPrefillWeight);
    if (!admission.admitted) {
        this->logChoice("prefill", ranked, "", "target-unreachable", admission);
        return this->refuse("overloaded", "the first output cannot come in time", admission.expected);
    }
    this->logChoice("prefill", ranked, best.engine.address, best.prefixHit ? "prefix-hit" : "least-expected-time",
                    admission);
    this->prefillHold = std::move(hold);
    return std::nullopt;
}

ModelRun::Step ModelRun::prefill()
{
    const std::string engine = this->prefillHold->engine();
    if (Step failure = this->checkDispatch(engine)) {
        return failure;
    }
    const Json body{{"request_id", this->attemptId},
                    {"model", this->request.model},
                    {"workspace", this->request.workspace},
                    {"prompt", this->request.prompt},
                    {"priority", this->request.priority}};
    this->state.dispatch();
    this->prefillHold->sent();
    const ExchangeEnd end =
        this->core.client.send({engine, "POST", "/v1/prefill", {{"Content-Type", "application/json"}}, dump(body)},
                               this->exchange.cancelSignal());
    const auto *reply = std::get_if<BackendReply>(&end);
    if (reply != nullptr && reply->header("Run-Outcome") == "not-run") {
        this->state.rejectedByBackend();
        this->prefillHold->finished();
        this->selection.exclude(engine);
        return this->fail(503, "no-capacity", "the prefill engine is full", true);
    }
    this->prefillSpent = !std::holds_alternative<ConnectFailed>(end);
    if (reply == nullptr || reply->status != 200) {
        return this->broken(engine, end, "prefill");
    }
    this->state.workDone();
    const auto answered = nlohmann::json::parse(reply->body, nullptr, false);
    if (!answered.is_object() || answered.value("request_id", Json()) != this->attemptId
        || !answered.value("handle", Json()).is_string() || answered["handle"].get<std::string>().empty()) {
        LogLine("protocol-violation")
            .add("request", this->requestId)
            .add("engine", engine)
            .add("detail", "prefill answer with a wrong id or without a handle")
            .warn();
        this->core.retries.failure(engine);
        this->selection.exclude(engine);
        return this->fail(502, "engine-protocol", "the prefill engine's answer belongs to no request", true);
    }
    this->handle = answered["handle"].get<std::string>();
    this->expectedPrefill = this->core.transferEstimate();
    this->prefillHold->releaseRoom();
    this->core.retries.success(engine);
    this->core.hooks.notePrefix(this->request.prefix(), engine);
    return std::nullopt;
}

ModelRun::Step ModelRun::checkDispatch(const std::string &engine)
{
    if (Step failure = this->ended()) {
        return failure;
    }
    if (!this->selection.isLive(engine)) {
        this->selection.exclude(engine);
        return this->fail(503, "no-capacity", "the chosen engine is leaving", true);
    }
    return std::nullopt;
}

void ModelRun::endAttempt()
{
    if (this->prefillSpent) {
        const Metrics::Labels labels{{"workspace", this->workspaceLabel}, {"model", this->request.model}};
        this->core.metrics.count("cyclamencross_prefills_total", labels);
        if (this->relay.outputs() == 0 && !this->relay.check().complete()) {
            this->core.metrics.count("cyclamencross_wasted_prefills_total", labels);
        }
    }
    this->prefillSpent = false;
    this->expectedPrefill = Millis(0);
    this->decodeHold.reset();
    this->prefillHold.reset();
}

ModelRun::Step ModelRun::ended() const
{
    switch (this->exchange.cancelSignal().reason()) {
    case CancelReason::None:
        break;
    case CancelReason::CallerGone:
        return this->fail(499, "caller-gone", "the caller closed its connection", false);
    case CancelReason::Deadline:
        return this->fail(504, "deadline-exceeded", "the request's deadline has passed", false);
    case CancelReason::Stopping:
        return this->fail(503, "shutting-down", "this entry is shutting down", false);
    }
    return std::nullopt;
}

ModelRun::Failure ModelRun::fail(int status, const std::string &type, const std::string &message, bool retryable) const
{
    return Failure{CallerError{status, type, message, this->state.outcomeOnFailure()}, retryable};
}

ModelRun::Failure ModelRun::refuse(const std::string &type, const std::string &message, Millis retryAfter) const
{
    return Failure{CallerError{503, type, message, this->state.outcomeOnFailure(),
                               std::clamp(retryAfter, ShortestRetryAfter, LongestRetryAfter)},
                   false};
}

ModelRun::Failure ModelRun::broken(const std::string &engine, const ExchangeEnd &end, const std::string &stage)
{
    if (Step failure = this->ended()) {
        return *failure;
    }
    this->core.retries.failure(engine);
    this->selection.exclude(engine);
    std::string what = "refused the connection";
    if (std::holds_alternative<ConnectFailed>(end)) {
        this->state.rejectedByBackend();
    } else if (const auto *cut = std::get_if<ExchangeBroken>(&end)) {
        what = "broke off: " + cut->detail;
        ++this->brokenOff;
        if (this->core.client.refusesConnection(engine)) {
            this->core.crashGuard.report(this->fingerprint, engine);
        }
    } else if (const auto *reply = std::get_if<BackendReply>(&end)) {
        what = "answered with status " + std::to_string(reply->status);
    }
    LogLine("engine-failure")
        .add("request", this->requestId)
        .add("attempt", this->attemptId)
        .add("engine", engine)
        .add("stage", stage)
        .add("detail", what)
        .warn();
    return this->fail(502, "engine-failure", "the " + stage + " engine " + what, true);
}

Millis ModelRun::leftUntilFirstOutput() const
{
    // A retry has spent work already, so it may use all of the deadline; so may a request that can wait.
    const bool lenient = this->request.priority == CanWait || this->attempts > 1;
    const Millis limit =
        lenient ? this->request.deadline : std::min(this->targets.firstTokenTarget, this->request.deadline);
    return std::max(Millis(0), limit - since(this->arrival));
}

SlotAsk ModelRun::askFor(const std::string &engine, Millis maxWait) const
{
    return SlotAsk{this->attemptId, engine, this->request.workspace, this->request.priority, 0, 0, maxWait};
}

}
