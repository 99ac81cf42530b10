#include "modelhandler.h"

#include "engineselection.h"
#include "modelrequest.h"
#include "modelrun.h"
#include "requestdefaults.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"

namespace Cyclamen
{

namespace
{

constexpr Millis ContainedRetryAfter{60000};

CallerError duplicateRefusal(CallRegistry::KeyStatus keyStatus)
{
    switch (keyStatus) {
    case CallRegistry::KeyStatus::RequestMismatch:
        return CallerError{409, "key-reused", "the Idempotency-Key belongs to a different request"};
    case CallRegistry::KeyStatus::Full:
        return CallerError{503, "too-many-keys", "this entry cannot store another idempotency key"};
    case CallRegistry::KeyStatus::Running:
        return CallerError{409, "call-running", "the first request with this key is still running",
                           RunOutcome::Unknown};
    default:
        return CallerError{409, "result-dropped", "the request has run, but its result is not stored",
                           RunOutcome::Unknown};
    }
}

}

ModelHandler::ModelHandler(ProxyCore &core, CallRegistry &registry)
    : core(core)
    , registry(registry)
{
}

void ModelHandler::handle(CallerExchange &exchange)
{
    const std::string requestId = this->core.newRequestId();
    const TimePoint arrival = Clock::now();
    const auto error = this->process(exchange, requestId);
    const std::string outcome =
        error ? (error->type == "caller-gone" ? "caller-gone" : std::string(toString(error->outcome))) : "done";
    this->core.metrics.count("cyclamencross_requests_total", {{"kind", "model"}, {"outcome", outcome}});
    LogLine line("request-end");
    line.add("request", requestId).add("kind", "model").add("outcome", outcome);
    line.add("total_ms", std::int64_t(std::chrono::duration_cast<Millis>(Clock::now() - arrival).count()));
    if (error) {
        line.add("type", error->type).add("message", error->message);
        this->core.metrics.count("cyclamencross_refusals_total", {{"type", error->type}});
    }
    line.write();
}

std::optional<CallerError> ModelHandler::process(CallerExchange &exchange, const std::string &requestId)
{
    const TimePoint arrival = Clock::now();
    const auto refuse = [&](const CallerError &error) {
        exchange.reply(errorReply(error, requestId));
        return error;
    };
    if (const auto refusal = this->core.refusal()) {
        return refuse(*refusal);
    }
    const CallerRequest &received = exchange.request();
    const FleetViewPtr view = this->core.hooks.view();
    const std::string workspace = received.header("Workspace", "default");
    FleetDefaults defaults = requestDefaults(*view, workspace, "", unixSeconds());
    auto parsed = parseModelRequest(received, defaults);
    if (const auto *error = std::get_if<CallerError>(&parsed)) {
        return refuse(*error);
    }
    ModelRequest &request = std::get<ModelRequest>(parsed);
    defaults = requestDefaults(*view, workspace, request.model, unixSeconds());
    request.deadline = std::min(request.deadline, defaults.requestDeadline);
    request.maxTokens = std::min(request.maxTokens, defaults.maxTokens);
    if (!EngineSelection(this->core, request.model, false).isModelKnown()) {
        return refuse(CallerError{404, "unknown-model", "no engine serves the model"});
    }
    const std::uint64_t fingerprint =
        this->core.crashGuard.fingerprint(workspace, "model " + request.model, received.body);
    if (this->core.crashGuard.isContained(fingerprint)) {
        return refuse(CallerError{422, "crash-contained", "identical requests crashed backend servers",
                                  RunOutcome::NotRun, ContainedRetryAfter});
    }
    exchange.cancelSignal().setDeadline(arrival + request.deadline);

    const std::string key = request.idempotencyKey.empty() ? "" : "model\n" + workspace + "\n" + request.idempotencyKey;
    if (!key.empty()) {
        const auto lookup =
            this->registry.begin(key, keyedHash(received.target + "\n" + received.body, this->core.settings.sharedKey));
        if (lookup.keyStatus == CallRegistry::KeyStatus::Finished) {
            HttpReply reply = lookup.result;
            reply.headers["Idempotent-Replay"] = "true";
            exchange.reply(reply);
            return std::nullopt;
        }
        if (lookup.keyStatus != CallRegistry::KeyStatus::New) {
            return refuse(duplicateRefusal(lookup.keyStatus));
        }
    }
    ModelRun run(this->core, exchange, request, defaults, requestId, fingerprint, arrival);
    const auto error = run.run();
    if (!key.empty()) {
        // A model request may run again after it has ended, so only a complete response is stored for replay.
        if (!error && !run.fullResponse().empty()) {
            this->registry.finish(key, *exchange.fullReply());
        } else {
            this->registry.remove(key);
        }
    }
    return error;
}

}
