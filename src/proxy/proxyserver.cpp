#include "cyclamencross/proxy/proxyserver.h"

#include "callerserver.h"
#include "entryreply.h"
#include "modelhandler.h"
#include "servicehandler.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/net/peerhttp.h"

namespace Cyclamen
{

namespace
{

constexpr Millis BusyRetryAfter{1000};

HttpReply plainText(int status, const std::string &text)
{
    return HttpReply{status, {{"Content-Type", "text/plain; charset=utf-8"}}, text};
}

// Returns the error reply for failures that are not reported by a request handler.
HttpReply httpErrorReply(int status)
{
    switch (status) {
    case 503:
        return errorReply(CallerError{503, "too-many-connections", "this entry has too many connections",
                                      RunOutcome::NotRun, BusyRetryAfter},
                          "");
    case 413:
        return errorReply(CallerError{413, "too-large", "the request is larger than this entry accepts"}, "");
    case 404:
        return errorReply(CallerError{404, "not-found", "unknown path"}, "");
    case 414:
        return errorReply(CallerError{414, "too-large", "the request line is too long"}, "");
    case 500:
        return errorReply(CallerError{500, "internal", "internal error in this entry", RunOutcome::Unknown}, "");
    default:
        return errorReply(CallerError{status < 400 ? 400 : status, "invalid-request", "malformed HTTP request"}, "");
    }
}

}

struct ProxyServer::Members
{
    Members(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics)
        : core(settings, incarnation, std::move(hooks), metrics)
        , modelHandler(core, registry)
        , serviceHandler(core, registry,
                         [this](const std::string &address, const HttpRequest &request, Millis timeout) {
                             return callPeer(address, request, this->core.settings.sharedKey, timeout);
                         })
        , server(
              settings.maxConnections, ConnectionLimits{settings.idleTimeout, 64U << 10U, settings.maxBodyBytes},
              [this](CallerExchange &exchange) { this->handle(exchange); },
              [&metrics](int status) {
                  HttpReply refusal = httpErrorReply(status);
                  metrics.count("cyclamencross_refusals_total", {{"type", errorType(refusal)}});
                  return refusal;
              })
    {
    }

    void handle(CallerExchange &exchange);
    void handleUtilityPath(CallerExchange &exchange);

    ProxyCore core;
    CallRegistry registry;
    ModelHandler modelHandler;
    ServiceHandler serviceHandler;
    CallerServer server; // Last, so that its threads end before the members that they use are destroyed.
};

void ProxyServer::Members::handle(CallerExchange &exchange)
{
    const CallerRequest &request = exchange.request();
    const bool isModelRequest = request.path == "/v1/completions" || request.path == "/v1/chat/completions";
    if (!isModelRequest && !request.path.starts_with("/services/")) {
        this->handleUtilityPath(exchange);
        return;
    }
    if (isModelRequest && request.method != "POST") {
        exchange.reply(errorReply(CallerError{405, "invalid-request", "only POST is allowed on this path"}, ""));
        return;
    }
    this->core.hooks.setLoad(++this->core.inProgress);
    try {
        if (isModelRequest) {
            this->modelHandler.handle(exchange);
        } else {
            this->serviceHandler.handle(exchange);
        }
    } catch (const std::exception &exception) {
        LogLine("request-fault").add("path", request.path).add("detail", exception.what()).error();
        if (exchange.streamStarted()) {
            exchange.abortStream();
        } else {
            exchange.reply(httpErrorReply(500));
        }
    }
    this->core.hooks.setLoad(--this->core.inProgress);
}

void ProxyServer::Members::handleUtilityPath(CallerExchange &exchange)
{
    const CallerRequest &request = exchange.request();
    const bool isGet = request.method == "GET" || request.method == "HEAD";
    if (isGet && request.path == "/v1/entry") {
        const FleetViewPtr view = this->core.hooks.view();
        if (view->isolated || !view->ready) {
            exchange.reply(errorReply(CallerError{503, view->isolated ? "isolated" : "not-ready",
                                                  "this entry does not have the current fleet state; use another entry",
                                                  RunOutcome::NotRun, BusyRetryAfter},
                                      ""));
            return;
        }
        exchange.reply(entryReply(request, *view, this->serviceHandler.guard().newTicket()));
    } else if (isGet && request.path == "/healthz") {
        exchange.reply(plainText(200, "ok\n"));
    } else if (isGet && request.path == "/readyz") {
        const auto refusal = this->core.refusal();
        exchange.reply(refusal ? plainText(503, refusal->type + "\n") : plainText(200, "ready\n"));
    } else if (isGet && request.path == "/metrics") {
        this->core.metrics.set("cyclamencross_requests_in_progress", this->core.inProgress.load());
        HttpReply reply = plainText(200, this->core.metrics.text());
        reply.headers["Content-Type"] = "text/plain; version=0.0.4";
        exchange.reply(std::move(reply));
    } else {
        exchange.reply(httpErrorReply(404));
    }
}

ProxyServer::ProxyServer(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics)
    : members(std::make_unique<Members>(settings, incarnation, std::move(hooks), metrics))
{
}

ProxyServer::~ProxyServer() = default;

bool ProxyServer::start()
{
    return this->members->server.start(this->members->core.settings.callerAddress);
}

void ProxyServer::stopAccepting()
{
    this->members->server.stopAccepting();
}

void ProxyServer::refuseNewWork()
{
    this->members->core.refusesNewWork.store(true);
}

std::uint32_t ProxyServer::inProgress() const
{
    return this->members->core.inProgress.load();
}

HttpReply ProxyServer::answerPeerCall(const HttpRequest &request)
{
    CallerWatch &watch = this->members->server.callerWatch();
    CancelSignal cancel;
    ++this->members->core.inProgress;
    HttpReply reply;
    {
        const CallerWatch::Guard watchGuard(watch, cancel, -1);
        reply = this->members->serviceHandler.guard().handlePeerCall(request, cancel);
    }
    --this->members->core.inProgress;
    return reply;
}

}
