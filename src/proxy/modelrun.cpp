#include "modelrun.h"

#include "sseparser.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/crashhistory.h"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

using Json = nlohmann::ordered_json;

constexpr int MaxAttempts = 3;
constexpr Millis ProbeWait{5}; // Short, so that a second engine can be tried before queueing at the first.
constexpr Millis MaxQueueWait{10000}; // Limits the queueing time of deferrable requests.
constexpr Millis NoEngineRetryAfter{1000};
constexpr Millis MinRetryAfter{200};
constexpr Millis MaxRetryAfter{30000};
constexpr std::uint8_t DeferrablePriority = 2;

Millis elapsedSince(TimePoint start)
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
    , suspect(core.crashGuard.crashCount(fingerprint) > 0)
    , selection(core, this->request.model, this->suspect)
    , relay(exchange, this->request, this->requestId, [this] { this->state.recordResponseStart(); })
    , attemptId(this->requestId)
{
}

std::optional<CallerError> ModelRun::run()
{
    this->core.retries.countRequest(this->targets.retryBudget);
    while (true) {
        ++this->attemptCount;
        StepResult failure = this->attempt();
        if (!failure) {
            this->state.recordResponseEnd();
            this->responseBody = this->relay.finish();
            this->recordLatencyMetrics();
            this->endAttempt();
            return std::nullopt;
        }
        this->endAttempt();
        const bool retry = failure->retryable && this->relay.outputs() == 0 && this->attemptCount < MaxAttempts
            && !this->cancelFailure() && this->mayRetryAfterCrashes() && this->core.retries.takeRetry()
            && this->exchange.cancelSignal().sleep(this->core.retries.delay(this->attemptCount));
        if (!retry) {
            failure->error.outcome = this->state.outcomeOnFailure();
            this->relay.fail(failure->error);
            return failure->error;
        }
        this->core.metrics.count("cyclamencross_retries_total", {{"kind", "model"}});
        this->suspect = this->core.crashGuard.crashCount(this->fingerprint) > 0;
        this->selection.setSuspect(this->suspect);
        this->attemptId = this->core.newRequestId();
        LogLine("retry")
            .add("request", this->requestId)
            .add("attempt", this->attemptId)
            .add("reason", failure->error.message)
            .write();
    }
}

// An engine that restarts immediately accepts connections again before its crash is detected. Therefore a request whose
// connection broke at two engines is not sent to a third one, even if no crash was confirmed.
bool ModelRun::mayRetryAfterCrashes() const
{
    return std::max(this->core.crashGuard.crashCount(this->fingerprint), this->brokenAttempts)
        < CrashHistory::CrashesToContain;
}

const std::string &ModelRun::fullResponse() const
{
    return this->responseBody;
}

ModelRun::StepResult ModelRun::attempt()
{
    this->relay.startAttempt(this->attemptId);
    if (StepResult failure = this->checkAdmission()) {
        return failure;
    }
    if (StepResult failure = this->reserveDecode()) {
        return failure;
    }
    if (StepResult failure = this->reservePrefill()) {
        return failure;
    }
    if (this->attemptCount == 1) {
        this->core.metrics.observe("cyclamencross_queue_seconds", toSeconds(Clock::now() - this->arrival));
    }
    if (StepResult failure = this->prefill()) {
        return failure;
    }
    return this->decode();
}

ModelRun::StepResult ModelRun::checkAdmission()
{
    if (StepResult failure = this->cancelFailure()) {
        return failure;
    }
    const auto prefills = this->selection.rankPrefillEngines(this->request.promptTokens(), this->request.prefix());
    if (prefills.empty()) {
        return this->makeRefusal("no-capacity", "no live engine can take the request", NoEngineRetryAfter);
    }
    // Refuses a request that cannot meet its target any more before any capacity is reserved.
    const AdmissionDecision admission = admit(prefills.front(), this->core.transferEstimate(), Millis(0),
                                              this->timeLeftForFirstOutput(), this->targets.wastedPrefillWeight);
    if (!admission.admitted) {
        this->logRouting("admission", prefills, "", "target-unreachable", admission);
        return this->makeRefusal("overloaded", "the first output cannot come in time", admission.timeToFirstOutput);
    }
    this->expectedTimeToOutput = admission.timeToFirstOutput;
    return std::nullopt;
}

ModelRun::StepResult ModelRun::reserveDecode()
{
    const auto decodes = this->selection.rankDecodeEngines();
    if (decodes.empty()) {
        return this->makeRefusal("no-capacity", "no live decode engine", NoEngineRetryAfter);
    }
    const auto maxWait = [this] {
        return std::clamp(this->timeLeftForFirstOutput() - this->expectedTimeToOutput, Millis(0), MaxQueueWait);
    };
    std::unique_ptr<EngineReservation> reservation;
    const auto acquire = [&](const RankedEngine &ranked, Millis wait) {
        reservation = std::make_unique<EngineReservation>(this->core, this->attemptId, this->suspect);
        SlotRequest slotRequest = this->makeSlotRequest(ranked.engine.address, wait);
        slotRequest.slots = 1;
        return reservation->acquire(slotRequest, this->exchange.cancelSignal());
    };
    // Tries the two best engines without queueing, then queues at the best one. Engines that are out of use, which rank
    // as idle, are passed over while there is time.
    bool granted = false;
    std::vector<const RankedEngine *> full;
    for (const RankedEngine &ranked : decodes) {
        granted = acquire(ranked, std::min(ProbeWait, maxWait()));
        if (StepResult failure = this->cancelFailure()) {
            return failure;
        }
        if (!granted && reservation->isEngineOut()) {
            this->selection.exclude(ranked.engine.address);
        } else if (!granted) {
            full.push_back(&ranked);
        }
        if (granted || full.size() == 2 || maxWait() == Millis(0)) {
            break;
        }
    }
    if (!granted) {
        granted = acquire(full.empty() ? decodes.front() : *full.front(), maxWait());
        if (StepResult failure = this->cancelFailure()) {
            return failure;
        }
    }
    if (!granted) {
        this->logRouting("decode", decodes, "", "no-free-slot", {});
        return this->makeRefusal("no-capacity", "no decode engine has room in time", reservation->ownerExpectedWait());
    }
    this->logRouting("decode", decodes, reservation->engine(), "free-slot", {});
    this->decodeReservation = std::move(reservation);
    return std::nullopt;
}

ModelRun::StepResult ModelRun::reservePrefill()
{
    auto ranked = this->selection.rankPrefillEngines(this->request.promptTokens(), this->request.prefix());
    if (ranked.empty()) {
        return this->makeRefusal("no-capacity", "no live prefill engine", NoEngineRetryAfter);
    }
    auto best = ranked.begin();
    std::unique_ptr<EngineReservation> reservation;
    while (true) {
        const Millis maxWait = this->timeLeftForFirstOutput() - this->core.transferEstimate()
            - Millis(static_cast<std::int64_t>(best->costMs));
        reservation = std::make_unique<EngineReservation>(this->core, this->attemptId, this->suspect);
        SlotRequest slotRequest =
            this->makeSlotRequest(best->engine.address, std::clamp(maxWait, Millis(0), MaxQueueWait));
        slotRequest.tokens = this->request.promptTokens();
        const bool granted = reservation->acquire(slotRequest, this->exchange.cancelSignal());
        if (StepResult failure = this->cancelFailure()) {
            return failure;
        }
        if (granted) {
            break;
        }
        // An engine that is out of use ranks as idle. Its refusal says nothing about the other engines.
        if (!reservation->isEngineOut() || maxWait <= Millis(0) || std::next(best) == ranked.end()) {
            this->logRouting("prefill", ranked, "", "no-room", {});
            return this->makeRefusal("no-capacity", "no prefill engine has room in time",
                                     reservation->ownerExpectedWait());
        }
        this->selection.exclude(best->engine.address);
        ++best;
    }
    // The owner's expected wait is newer than the load on which checkAdmission() was based.
    best->expectedWaitMs = static_cast<double>(reservation->grant().expectedWait.count());
    const AdmissionDecision admission = admit(*best, this->core.transferEstimate(), Millis(0),
                                              this->timeLeftForFirstOutput(), this->targets.wastedPrefillWeight);
    if (!admission.admitted) {
        this->logRouting("prefill", ranked, "", "target-unreachable", admission);
        return this->makeRefusal("overloaded", "the first output cannot come in time", admission.timeToFirstOutput);
    }
    this->logRouting("prefill", ranked, best->engine.address, best->prefixHit ? "prefix-hit" : "least-expected-time",
                     admission);
    this->prefillReservation = std::move(reservation);
    return std::nullopt;
}

ModelRun::StepResult ModelRun::prefill()
{
    const std::string engine = this->prefillReservation->engine();
    if (StepResult failure = this->checkBeforeDispatch(engine)) {
        return failure;
    }
    const Json body{{"request_id", this->attemptId},
                    {"model", this->request.model},
                    {"workspace", this->request.workspace},
                    {"prompt", this->request.prompt},
                    {"priority", this->request.priority}};
    this->state.startAttempt();
    this->prefillReservation->markSent();
    const ExchangeResult result =
        this->core.client.send({engine, "POST", "/v1/prefill", {{"Content-Type", "application/json"}}, dump(body)},
                               this->exchange.cancelSignal());
    const auto *reply = std::get_if<BackendResponse>(&result);
    if (reply != nullptr && reply->header("Run-Outcome") == "not-run") {
        this->state.recordRejection();
        this->prefillReservation->markFinished();
        this->selection.exclude(engine);
        return this->makeFailure(503, "no-capacity", "the prefill engine is full", true);
    }
    this->prefillMayHaveRun = !std::holds_alternative<ConnectFailed>(result);
    if (reply == nullptr || reply->status != 200) {
        return this->recordEngineFailure(engine, result, "prefill");
    }
    this->state.recordWork();
    const auto prefillResponse = nlohmann::json::parse(reply->body, nullptr, false);
    if (!prefillResponse.is_object() || prefillResponse.value("request_id", Json()) != this->attemptId
        || !prefillResponse.value("handle", Json()).is_string()
        || prefillResponse["handle"].get<std::string>().empty()) {
        LogLine("protocol-violation")
            .add("request", this->requestId)
            .add("engine", engine)
            .add("detail", "prefill answer with a wrong id or without a handle")
            .warn();
        this->core.retries.recordFailure(engine);
        this->selection.exclude(engine);
        return this->makeFailure(502, "engine-protocol",
                                 "the prefill engine sent a response with a wrong request id or without a handle",
                                 true);
    }
    this->prefillHandle = prefillResponse["handle"].get<std::string>();
    this->expectedTimeToOutput = this->core.transferEstimate();
    this->prefillReservation->releaseGrant();
    this->core.retries.recordSuccess(engine);
    this->core.hooks.recordPrefix(this->request.prefix(), engine);
    return std::nullopt;
}

ModelRun::StepResult ModelRun::checkBeforeDispatch(const std::string &engine)
{
    if (StepResult failure = this->cancelFailure()) {
        return failure;
    }
    if (!this->selection.isLive(engine)) {
        this->selection.exclude(engine);
        return this->makeFailure(503, "no-capacity", "the selected engine is no longer live", true);
    }
    return std::nullopt;
}

void ModelRun::endAttempt()
{
    if (this->prefillMayHaveRun) {
        const Metrics::Labels labels{{"workspace", this->workspaceLabel}, {"model", this->request.model}};
        this->core.metrics.count("cyclamencross_prefills_total", labels);
        if (this->relay.outputs() == 0 && !this->relay.validator().complete()) {
            this->core.metrics.count("cyclamencross_wasted_prefills_total", labels);
        }
    }
    this->prefillMayHaveRun = false;
    this->expectedTimeToOutput = Millis(0);
    this->decodeReservation.reset();
    this->prefillReservation.reset();
}

ModelRun::StepResult ModelRun::cancelFailure() const
{
    switch (this->exchange.cancelSignal().reason()) {
    case CancelReason::None:
        break;
    case CancelReason::CallerDisconnected:
        return this->makeFailure(499, "caller-gone", "the caller closed its connection", false);
    case CancelReason::Deadline:
        return this->makeFailure(504, "deadline-exceeded", "the request's deadline has passed", false);
    case CancelReason::Stopping:
        return this->makeFailure(503, "shutting-down", "this entry is shutting down", false);
    }
    return std::nullopt;
}

ModelRun::Failure ModelRun::makeFailure(int status, const std::string &type, const std::string &message,
                                        bool retryable) const
{
    return Failure{CallerError{status, type, message, this->state.outcomeOnFailure()}, retryable};
}

ModelRun::Failure ModelRun::makeRefusal(const std::string &type, const std::string &message, Millis retryAfter) const
{
    return Failure{CallerError{503, type, message, this->state.outcomeOnFailure(),
                               std::clamp(retryAfter, MinRetryAfter, MaxRetryAfter)},
                   false};
}

ModelRun::Failure ModelRun::recordEngineFailure(const std::string &engine, const ExchangeResult &result,
                                                const std::string &stage)
{
    if (StepResult failure = this->cancelFailure()) {
        return *failure;
    }
    this->core.retries.recordFailure(engine);
    this->selection.exclude(engine);
    std::string detail = "refused the connection";
    if (std::holds_alternative<ConnectFailed>(result)) {
        this->state.recordRejection();
    } else if (const auto *brokenExchange = std::get_if<ExchangeFailed>(&result)) {
        detail = "failed during the exchange: " + brokenExchange->detail;
        ++this->brokenAttempts;
        if (this->relay.outputs() == 0 && this->core.client.refusesConnection(engine)) {
            this->core.crashGuard.report(this->fingerprint, engine);
        }
    } else if (const auto *reply = std::get_if<BackendResponse>(&result)) {
        detail = "responded with status " + std::to_string(reply->status);
    }
    LogLine("engine-failure")
        .add("request", this->requestId)
        .add("attempt", this->attemptId)
        .add("engine", engine)
        .add("stage", stage)
        .add("detail", detail)
        .warn();
    return this->makeFailure(502, "engine-failure", "the " + stage + " engine " + detail, true);
}

Millis ModelRun::timeLeftForFirstOutput() const
{
    // A retry has already cost work, so it may use the whole deadline, as a deferrable request may.
    const bool mayUseDeadline = this->request.priority == DeferrablePriority || this->attemptCount > 1;
    const Millis limit =
        mayUseDeadline ? this->request.deadline : std::min(this->targets.firstTokenTarget, this->request.deadline);
    return std::max(Millis(0), limit - elapsedSince(this->arrival));
}

SlotRequest ModelRun::makeSlotRequest(const std::string &engine, Millis maxWait) const
{
    return SlotRequest{this->attemptId, engine, this->request.workspace, this->request.priority, 0, 0, maxWait};
}

}
