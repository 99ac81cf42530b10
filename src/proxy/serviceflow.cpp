#include "serviceflow.h"

#include "engineselection.h"
#include "modelrequest.h"
#include "requestdefaults.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"

#include <algorithm>
#include <array>
#include <strings.h>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

constexpr int MaxAttempts = 4;
constexpr Millis NoServerRetryAfter{1000};
constexpr Millis ContainedRetryAfter{60000};

// Headers that belong to one connection, or that this router or the HTTP library sets itself.
constexpr std::array<const char *, 14> OwnHeaders{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",         "Trailer",
    "Upgrade",    "Host",       "Expect",           "REMOTE_ADDR",       "REMOTE_PORT",    "LOCAL_ADDR", "LOCAL_PORT"};

bool isOwnHeader(const std::string &name)
{
    return std::ranges::any_of(OwnHeaders, [&name](const char *own) { return strcasecmp(own, name.c_str()) == 0; });
}

std::string poolOf(const std::string &path)
{
    const std::string rest = path.substr(std::string_view("/services/").size());
    return rest.substr(0, rest.find('/'));
}

bool isOverloadStatus(int status)
{
    return status == 502 || status == 503 || status == 504;
}

HttpReply toCaller(const BackendReply &answer, const std::string &requestId, bool head)
{
    HttpReply reply{answer.status, {}, answer.body};
    for (const auto &[name, value] : answer.headers) {
        if (!isOwnHeader(name) || (head && strcasecmp(name.c_str(), "Content-Length") == 0)) {
            // A repeated header is joined; Set-Cookie cannot be, so only its first value is passed on.
            auto [place, isNew] = reply.headers.emplace(name, value);
            if (!isNew && strcasecmp(name.c_str(), "Set-Cookie") != 0) {
                place->second += ", " + value;
            }
        }
    }
    reply.headers["Request-Id"] = requestId;
    if (answer.status >= 500 && answer.header("Run-Outcome").empty()) {
        reply.headers["Run-Outcome"] = toString(RunOutcome::Unknown);
    }
    return reply;
}

}

ServiceFlow::ServiceFlow(ProxyCore &core, CallRegistry &registry, CallGuard::PeerCaller peerCaller)
    : core(core)
    , callGuard(
          core, registry,
          [this](const CallerRequest &request, const std::string &requestId, CancelSignal &cancel) {
              return this->run(request, requestId, cancel, true);
          },
          std::move(peerCaller))
{
}

CallGuard &ServiceFlow::guard()
{
    return this->callGuard;
}

void ServiceFlow::handle(CallerExchange &exchange)
{
    const std::string requestId = this->core.newRequestId();
    const CallerRequest &request = exchange.request();
    const FleetViewPtr view = this->core.hooks.view();
    const FleetDefaults defaults = requestDefaults(*view, request.header("Workspace", "default"), "", unixSeconds());
    const auto deadline = parseDeadline(request, defaults.requestDeadline);
    HttpReply reply;
    const bool keyed = !request.header("Idempotency-Key").empty();
    const auto refusal = this->core.refusal();
    // A call with a key may be a resend, so the guard answers it, also where new work is refused.
    if (refusal && !keyed) {
        reply = errorReply(*refusal, requestId);
    } else if (const auto *invalid = std::get_if<CallerError>(&deadline)) {
        reply = errorReply(*invalid, requestId);
    } else {
        this->core.retries.addFresh(defaults.retryBudget);
        exchange.cancelSignal().setDeadline(Clock::now() + std::get<Millis>(deadline));
        reply = keyed ? this->callGuard.answer(request, requestId, exchange.cancelSignal())
                      : this->run(request, requestId, exchange.cancelSignal(), false);
    }
    const auto found = reply.headers.find("Run-Outcome");
    const std::string outcome = found == reply.headers.end() ? "done" : found->second;
    const std::string type = outcome == "done" ? "" : errorType(reply);
    if (!type.empty()) {
        this->core.metrics.count("cyclamencross_refusals_total", {{"type", type}});
    }
    this->core.metrics.count("cyclamencross_requests_total", {{"kind", "service"}, {"outcome", outcome}});
    LogLine("request-end")
        .add("request", requestId)
        .add("kind", "service")
        .add("status", reply.status)
        .add("outcome", outcome)
        .write();
    exchange.reply(std::move(reply));
}

HttpReply ServiceFlow::run(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel, bool once)
{
    const std::string pool = poolOf(request.path);
    Call call{request, requestId, cancel};
    call.mayRepeat = !once && (request.method == "GET" || request.method == "HEAD");
    call.fingerprint = this->core.crashGuard.fingerprint(request.header("Workspace", "default"),
                                                         request.method + " " + request.target, request.body);
    if (this->core.crashGuard.isContained(call.fingerprint)) {
        return errorReply(CallerError{422, "crash-contained", "requests like this one crashed backend servers",
                                      RunOutcome::NotRun, ContainedRetryAfter},
                          requestId);
    }
    const FleetViewPtr view = this->core.hooks.view();
    std::vector<Backend> servers;
    bool known = false;
    for (const Backend &backend : view->backends) {
        if (backend.kind == BackendKind::Service && backend.pool == pool) {
            known = true;
            if (backend.state == BackendState::Live) {
                servers.push_back(backend);
            }
        }
    }
    if (!known) {
        return errorReply(CallerError{404, "unknown-service", "no backend server belongs to the service"}, requestId);
    }
    servers = withoutOutliers(this->core.retries, servers);
    auto random = this->core.retries.generator();
    std::ranges::shuffle(servers, random);
    return this->attempts(call, std::move(servers), pool);
}

HttpReply ServiceFlow::attempts(const Call &call, std::vector<Backend> servers, const std::string &pool)
{
    // What the attempts so far allow to say of the work.
    RunOutcome outcome = RunOutcome::NotRun;
    std::string detail = "no live backend server could be reached";
    std::optional<HttpReply> lastAnswer;
    const std::vector<Backend> candidates = servers;
    for (int attempt = 1; attempt <= MaxAttempts && !servers.empty(); ++attempt) {
        const Backend server = servers.front();
        servers.erase(servers.begin());
        const bool suspect = this->core.crashGuard.crashes(call.fingerprint) > 0;
        // The view is read again right before the dispatch: a leaving server gets nothing.
        if (!isLiveBackend(*this->core.hooks.view(), server.address)
            || (suspect && !this->core.crashGuard.reserve(server.address))) {
            --attempt;
            continue;
        }
        this->logChoice(call, candidates, server.address, attempt == 1 ? "random" : "retry");
        const ExchangeEnd end = this->sendTo(server, call);
        if (suspect) {
            this->core.crashGuard.unreserve(server.address);
        }
        this->noteEnd(server, end, call);
        const auto *answer = std::get_if<BackendReply>(&end);
        if (answer != nullptr) {
            lastAnswer = toCaller(*answer, call.requestId, call.request.method == "HEAD");
            if (!call.mayRepeat || !isOverloadStatus(answer->status)) {
                return *lastAnswer;
            }
        }
        if (!std::holds_alternative<ConnectFailed>(end)) {
            outcome = RunOutcome::Unknown;
            detail = "the backend server did not answer";
            if (!call.mayRepeat) {
                break;
            }
        }
        if (call.cancel.reason() != CancelReason::None || servers.empty() || !this->core.retries.takeRetry()
            || !call.cancel.sleep(this->core.retries.delay(attempt))) {
            break;
        }
        this->core.metrics.count("cyclamencross_retries_total", {{"kind", "service"}});
    }
    if (lastAnswer) {
        return *lastAnswer;
    }
    CallerError error{503, "no-capacity", detail + " in pool " + pool, outcome, NoServerRetryAfter};
    if (outcome == RunOutcome::Unknown) {
        error.status = 502;
        error.type = "backend-failure";
    }
    if (call.cancel.reason() == CancelReason::Deadline) {
        error.status = 504;
        error.type = "deadline-exceeded";
    }
    return errorReply(error, call.requestId);
}

ExchangeEnd ServiceFlow::sendTo(const Backend &server, const Call &call)
{
    BackendRequest request{server.address, call.request.method, call.request.target, {}, call.request.body};
    for (const auto &[name, value] : call.request.headers) {
        if (!isOwnHeader(name)) {
            request.headers.emplace(name, value);
        }
    }
    request.headers.erase("Request-Id");
    request.headers.emplace("Request-Id", call.requestId);
    return this->core.client.send(request, call.cancel);
}

void ServiceFlow::noteEnd(const Backend &server, const ExchangeEnd &end, const Call &call)
{
    if (const auto *answer = std::get_if<BackendReply>(&end)) {
        if (isOverloadStatus(answer->status)) {
            this->core.retries.failure(server.address);
        } else {
            this->core.retries.success(server.address);
        }
        return;
    }
    if (std::holds_alternative<CallerGone>(end)) {
        return;
    }
    this->core.retries.failure(server.address);
    if (std::holds_alternative<ExchangeBroken>(end) && this->core.client.refusesConnection(server.address)) {
        this->core.crashGuard.report(call.fingerprint, server.address);
    }
}

void ServiceFlow::logChoice(const Call &call, const std::vector<Backend> &servers, const std::string &choice,
                            const char *reason) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const Backend &server : servers) {
        list.push_back(server.address);
    }
    LogLine("route")
        .add("request", call.requestId)
        .add("stage", "service")
        .addJson("candidates", list.dump())
        .add("choice", choice)
        .add("reason", reason)
        .write();
}

}
