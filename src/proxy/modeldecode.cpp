#include "modelrun.h"

#include "sseparser.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"

#include <nlohmann/json.hpp>

// The decode stage of ModelRun.
namespace Cyclamen
{

namespace
{

constexpr int MaxDecodeAttempts = 3;
constexpr int MaxResumes = 3;

}

ModelRun::StepResult ModelRun::decode()
{
    for (int tryNumber = 1;; ++tryNumber) {
        const std::string engine = this->decodeReservation->engine();
        StepResult failure = this->checkBeforeDispatch(engine);
        if (!failure) {
            const nlohmann::ordered_json body{{"request_id", this->attemptId},
                                              {"model", this->request.model},
                                              {"source", this->prefillReservation->engine()},
                                              {"handle", this->prefillHandle},
                                              {"max_tokens", this->request.maxTokens},
                                              {"priority", this->request.priority}};
            this->decodeReservation->markSent();
            const TimePoint start = Clock::now();
            const ExchangeResult result = this->readStream("/v1/decode", body.dump());
            if (this->relay.outputs() > 0) {
                this->core.recordTransfer(this->relay.firstOutput() - start);
            }
            if (this->relay.validator().complete()) {
                this->prefillReservation->markFinished();
                this->decodeReservation->markFinished();
                this->core.retries.recordSuccess(engine);
                return std::nullopt;
            }
            const auto *reply = std::get_if<BackendReply>(&result);
            if (reply != nullptr && reply->status == 410) {
                this->decodeReservation->markFinished();
                return this->makeFailure(502, "prefill-lost", "the prefill result was evicted before the transfer",
                                         true);
            }
            if (reply == nullptr || reply->status != 429) {
                const bool hasEvents =
                    this->relay.validator().nextIndex() > 0 || !this->relay.validator().violation().empty();
                const bool streamRejected =
                    std::holds_alternative<ConnectFailed>(result) || (reply != nullptr && reply->status != 200);
                if (streamRejected
                    || (!hasEvents && std::holds_alternative<ExchangeBroken>(result)
                        && this->core.client.refusesConnection(engine))) {
                    return this->recordEngineFailure(engine, result, "decode");
                }
                return this->resume(result);
            }
            this->decodeReservation->markFinished();
            failure = this->makeFailure(503, "no-capacity", "the decode engine is full", true);
        }
        // The prefill result is still available, so another decode engine can use it.
        this->selection.exclude(engine);
        this->decodeReservation.reset();
        if (tryNumber == MaxDecodeAttempts || !this->core.retries.takeRetry()
            || !this->exchange.cancelSignal().sleep(this->core.retries.delay(tryNumber))) {
            const StepResult cancelled = this->cancelFailure();
            return cancelled ? cancelled : failure;
        }
        this->core.metrics.count("cyclamencross_retries_total", {{"kind", "decode"}});
        if (this->reserveDecode()) {
            return failure;
        }
    }
}

ModelRun::StepResult ModelRun::resume(const ExchangeResult &brokenResult)
{
    const std::string engine = this->decodeReservation->engine();
    ExchangeResult lastResult = brokenResult;
    for (int tryNumber = 1; tryNumber <= MaxResumes; ++tryNumber) {
        const std::string reason =
            this->relay.validator().violation().empty() ? "stream cut" : this->relay.validator().violation();
        LogLine("stream-broken")
            .add("request", this->requestId)
            .add("engine", engine)
            .add("detail", reason)
            .add("next_index", this->relay.validator().nextIndex())
            .warn();
        if (StepResult failure = this->cancelFailure()) {
            return failure;
        }
        // A resume repeats no work and frees engine memory sooner, so it does not count against the retry budget.
        if (!this->exchange.cancelSignal().sleep(this->core.retries.delay(tryNumber))) {
            break;
        }
        this->core.metrics.count("cyclamencross_retries_total", {{"kind", "resume"}});
        const nlohmann::ordered_json body{{"request_id", this->attemptId},
                                          {"from_index", this->relay.validator().nextIndex()}};
        this->relay.resume();
        lastResult = this->readStream("/v1/resume", body.dump());
        if (this->relay.validator().complete()) {
            this->prefillReservation->markFinished();
            this->decodeReservation->markFinished();
            return std::nullopt;
        }
        const auto *reply = std::get_if<BackendReply>(&lastResult);
        if (std::holds_alternative<ConnectFailed>(lastResult) || (reply != nullptr && reply->status != 200)) {
            break;
        }
    }
    if (StepResult failure = this->cancelFailure()) {
        return failure;
    }
    if (std::holds_alternative<ConnectFailed>(lastResult)) {
        // The stream broke and the engine refuses new connections, so it died while running the request.
        lastResult = ExchangeBroken{engine, "the engine died"};
    }
    Failure failure = this->recordEngineFailure(engine, lastResult, "decode");
    failure.error.type = "stream-broken";
    return failure;
}

ExchangeResult ModelRun::readStream(const std::string &path, const std::string &body)
{
    SseParser parser;
    return this->core.client.stream(
        {this->decodeReservation->engine(), "POST", path, {{"Content-Type", "application/json"}}, body},
        this->exchange.cancelSignal(), [this, &parser](std::string_view chunk) {
            return parser.feed(chunk, [this](std::string_view data) { return this->relay.handleEvent(data); });
        });
}

}
