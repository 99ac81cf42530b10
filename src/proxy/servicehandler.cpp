#include "servicehandler.h"

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

// Headers that are not forwarded: hop-by-hop headers, and those that the router or the HTTP library sets itself.
constexpr std::array<const char *, 14> ConnectionHeaders{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE",         "Trailer",
    "Upgrade",    "Host",       "Expect",           "REMOTE_ADDR",       "REMOTE_PORT",    "LOCAL_ADDR", "LOCAL_PORT"};

bool isConnectionHeader(const std::string &name)
{
    return std::ranges::any_of(ConnectionHeaders,
                               [&name](const char *header) { return strcasecmp(header, name.c_str()) == 0; });
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

HttpReply toCallerReply(const BackendReply &response, const std::string &requestId, bool isHead)
{
    HttpReply reply{response.status, {}, response.body};
    for (const auto &[name, value] : response.headers) {
        if (!isConnectionHeader(name) || (isHead && strcasecmp(name.c_str(), "Content-Length") == 0)) {
            // Repeated headers are joined. Set-Cookie cannot be joined, so only its first value is passed on.
            auto [position, isNew] = reply.headers.emplace(name, value);
            if (!isNew && strcasecmp(name.c_str(), "Set-Cookie") != 0) {
                position->second += ", " + value;
            }
        }
    }
    reply.headers["Request-Id"] = requestId;
    if (response.status >= 500 && response.header("Run-Outcome").empty()) {
        reply.headers["Run-Outcome"] = toString(RunOutcome::Unknown);
    }
    return reply;
}

}

ServiceHandler::ServiceHandler(ProxyCore &core, CallRegistry &registry, IdempotencyGuard::PeerCaller peerCaller)
    : core(core)
    , idempotencyGuard(
          core, registry,
          [this](const CallerRequest &request, const std::string &requestId, CancelSignal &cancel) {
              return this->run(request, requestId, cancel, true);
          },
          std::move(peerCaller))
{
}

IdempotencyGuard &ServiceHandler::guard()
{
    return this->idempotencyGuard;
}

void ServiceHandler::handle(CallerExchange &exchange)
{
    const std::string requestId = this->core.newRequestId();
    const CallerRequest &request = exchange.request();
    const FleetViewPtr view = this->core.hooks.view();
    const FleetDefaults defaults = requestDefaults(*view, request.header("Workspace", "default"), "", unixSeconds());
    const auto deadline = parseDeadline(request, defaults.requestDeadline);
    HttpReply reply;
    const bool hasKey = !request.header("Idempotency-Key").empty();
    const auto refusal = this->core.refusal();
    // A call with a key may be a resend, so the guard handles it even if new work is refused.
    if (refusal && !hasKey) {
        reply = errorReply(*refusal, requestId);
    } else if (const auto *invalid = std::get_if<CallerError>(&deadline)) {
        reply = errorReply(*invalid, requestId);
    } else {
        this->core.retries.countRequest(defaults.retryBudget);
        exchange.cancelSignal().setDeadline(Clock::now() + std::get<Millis>(deadline));
        reply = hasKey ? this->idempotencyGuard.handle(request, requestId, exchange.cancelSignal())
                       : this->run(request, requestId, exchange.cancelSignal(), false);
    }
    const auto outcomeHeader = reply.headers.find("Run-Outcome");
    const std::string outcome = outcomeHeader == reply.headers.end() ? "done" : outcomeHeader->second;
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

HttpReply ServiceHandler::run(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel,
                              bool hasKey)
{
    const std::string pool = poolOf(request.path);
    Call call{request, requestId, cancel};
    call.repeatable = !hasKey && (request.method == "GET" || request.method == "HEAD");
    call.fingerprint = this->core.crashGuard.fingerprint(request.header("Workspace", "default"),
                                                         request.method + " " + request.target, request.body);
    if (this->core.crashGuard.isContained(call.fingerprint)) {
        return errorReply(CallerError{422, "crash-contained", "identical requests crashed backend servers",
                                      RunOutcome::NotRun, ContainedRetryAfter},
                          requestId);
    }
    const FleetViewPtr view = this->core.hooks.view();
    std::vector<Backend> servers;
    bool serviceExists = false;
    for (const Backend &backend : view->backends) {
        if (backend.kind == BackendKind::Service && backend.pool == pool) {
            serviceExists = true;
            if (backend.state == BackendState::Live) {
                servers.push_back(backend);
            }
        }
    }
    if (!serviceExists) {
        return errorReply(CallerError{404, "unknown-service", "no backend server is registered for the service"},
                          requestId);
    }
    servers = withoutOutliers(this->core.retries, servers);
    auto random = this->core.retries.generator();
    std::ranges::shuffle(servers, random);
    return this->tryServers(call, std::move(servers), pool);
}

HttpReply ServiceHandler::tryServers(const Call &call, std::vector<Backend> servers, const std::string &pool)
{
    // Outcome to report after the attempts so far.
    RunOutcome outcome = RunOutcome::NotRun;
    std::string detail = "no live backend server could be reached";
    std::optional<HttpReply> lastReply;
    const std::vector<Backend> candidates = servers;
    for (int attempt = 1; attempt <= MaxAttempts && !servers.empty(); ++attempt) {
        const Backend server = servers.front();
        servers.erase(servers.begin());
        const bool suspect = this->core.crashGuard.crashCount(call.fingerprint) > 0;
        // Reads the view again right before the dispatch, so that a leaving server gets no new call.
        if (!isLiveBackend(*this->core.hooks.view(), server.address)
            || (suspect && !this->core.crashGuard.reserve(server.address))) {
            --attempt;
            continue;
        }
        this->logRouting(call, candidates, server.address, attempt == 1 ? "random" : "retry");
        const ExchangeResult result = this->sendRequest(server, call);
        if (suspect) {
            this->core.crashGuard.release(server.address);
        }
        this->recordResult(server, result, call);
        const auto *response = std::get_if<BackendReply>(&result);
        if (response != nullptr) {
            lastReply = toCallerReply(*response, call.requestId, call.request.method == "HEAD");
            if (!call.repeatable || !isOverloadStatus(response->status)) {
                return *lastReply;
            }
        }
        if (!std::holds_alternative<ConnectFailed>(result)) {
            outcome = RunOutcome::Unknown;
            detail = "the backend server did not respond";
            if (!call.repeatable) {
                break;
            }
        }
        if (call.cancel.reason() != CancelReason::None || servers.empty() || !this->core.retries.takeRetry()
            || !call.cancel.sleep(this->core.retries.delay(attempt))) {
            break;
        }
        this->core.metrics.count("cyclamencross_retries_total", {{"kind", "service"}});
    }
    if (lastReply) {
        return *lastReply;
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

ExchangeResult ServiceHandler::sendRequest(const Backend &server, const Call &call)
{
    BackendRequest request{server.address, call.request.method, call.request.target, {}, call.request.body};
    for (const auto &[name, value] : call.request.headers) {
        if (!isConnectionHeader(name)) {
            request.headers.emplace(name, value);
        }
    }
    request.headers.erase("Request-Id");
    request.headers.emplace("Request-Id", call.requestId);
    return this->core.client.send(request, call.cancel);
}

void ServiceHandler::recordResult(const Backend &server, const ExchangeResult &result, const Call &call)
{
    if (const auto *response = std::get_if<BackendReply>(&result)) {
        if (isOverloadStatus(response->status)) {
            this->core.retries.recordFailure(server.address);
        } else {
            this->core.retries.recordSuccess(server.address);
        }
        return;
    }
    if (std::holds_alternative<CallerGone>(result)) {
        return;
    }
    this->core.retries.recordFailure(server.address);
    if (std::holds_alternative<ExchangeBroken>(result) && this->core.client.refusesConnection(server.address)) {
        this->core.crashGuard.report(call.fingerprint, server.address);
    }
}

void ServiceHandler::logRouting(const Call &call, const std::vector<Backend> &servers, const std::string &choice,
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
