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

constexpr int MaxDecodeTries = 3;
constexpr int MaxResumes = 3;

}

ModelRun::Step ModelRun::decode()
{
    for (int tries = 1;; ++tries) {
        const std::string engine = this->decodeHold->engine();
        Step refused = this->checkDispatch(engine);
        if (!refused) {
            const nlohmann::ordered_json body{
                {"request_id", this->attemptId},         {"model", this->request.model},
                {"source", this->prefillHold->engine()}, {"handle", this->handle},
                {"max_tokens", this->request.maxTokens}, {"priority", this->request.priority}};
            this->decodeHold->sent();
            const TimePoint start = Clock::now();
            const ExchangeEnd end = this->readStream("/v1/decode", body.dump());
            if (this->relay.outputs() > 0) {
                this->core.noteTransfer(this->relay.firstOutput() - start);
            }
            if (this->relay.check().complete()) {
                this->prefillHold->finished();
                this->decodeHold->finished();
                this->core.retries.success(engine);
                return std::nullopt;
            }
            const auto *reply = std::get_if<BackendReply>(&end);
            if (reply != nullptr && reply->status == 410) {
                this->decodeHold->finished();
                return this->fail(502, "prefill-lost", "the prefill result was evicted before the transfer", true);
            }
            if (reply == nullptr || reply->status != 429) {
                const bool begun = this->relay.check().nextIndex() > 0 || !this->relay.check().violation().empty();
                const bool unanswered =
                    std::holds_alternative<ConnectFailed>(end) || (reply != nullptr && reply->status != 200);
                if (unanswered
                    || (!begun && std::holds_alternative<ExchangeBroken>(end)
                        && this->core.client.refusesConnection(engine))) {
                    return this->broken(engine, end, "decode");
                }
                return this->resume(end);
            }
            this->decodeHold->finished();
            refused = this->fail(503, "no-capacity", "the decode engine is full", true);
        }
        // The prefill result is still there: another decode engine may take it.
        this->selection.exclude(engine);
        this->decodeHold.reset();
        if (tries == MaxDecodeTries || !this->core.retries.takeRetry()
            || !this->exchange.cancelSignal().sleep(this->core.retries.delay(tries))) {
            const Step ending = this->ended();
            return ending ? ending : refused;
        }
        this->core.metrics.count("cyclamencross_retries_total", {{"kind", "decode"}});
        if (this->reserveDecode()) {
            return refused;
        }
    }
}

ModelRun::Step ModelRun::resume(const ExchangeEnd &cut)
{
    const std::string engine = this->decodeHold->engine();
    ExchangeEnd last = cut;
    for (int tries = 1; tries <= MaxResumes; ++tries) {
        const std::string reason =
            this->relay.check().violation().empty() ? "stream cut" : this->relay.check().violation();
        LogLine("stream-broken")
            .add("request", this->requestId)
            .add("engine", engine)
            .add("detail", reason)
            .add("next_index", this->relay.check().nextIndex())
            .warn();
        if (Step failure = this->ended()) {
            return failure;
        }
        // A resume repeats no work and ends a hold on engine memory sooner, so it does not draw on the retry budget.
        if (!this->exchange.cancelSignal().sleep(this->core.retries.delay(tries))) {
            break;
        }
        this->core.metrics.count("cyclamencross_retries_total", {{"kind", "resume"}});
        const nlohmann::ordered_json body{{"request_id", this->attemptId},
                                          {"from_index", this->relay.check().nextIndex()}};
        this->relay.resume();
        last = this->readStream("/v1/resume", body.dump());
        if (this->relay.check().complete()) {
            this->prefillHold->finished();
            this->decodeHold->finished();
            return std::nullopt;
        }
        const auto *reply = std::get_if<BackendReply>(&last);
        if (std::holds_alternative<ConnectFailed>(last) || (reply != nullptr && reply->status != 200)) {
            break;
        }
    }
    if (Step failure = this->ended()) {
        return failure;
    }
    if (std::holds_alternative<ConnectFailed>(last)) {
        // The stream broke and a fresh connection is refused: the engine died with the request on it.
        last = ExchangeBroken{engine, "the engine died"};
    }
    Failure failure = this->broken(engine, last, "decode");
    failure.error.type = "stream-broken";
    return failure;
}

ExchangeEnd ModelRun::readStream(const std::string &path, const std::string &body)
{
    SseParser parser;
    return this->core.client.stream(
        {this->decodeHold->engine(), "POST", path, {{"Content-Type", "application/json"}}, body},
        this->exchange.cancelSignal(), [this, &parser](std::string_view part) {
            return parser.add(part, [this](std::string_view data) { return this->relay.take(data); });
        });
}

}
