#include "cyclamencross/proxy/proxyserver.h"

#include "callerserver.h"
#include "entryresponse.h"
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

HttpResponse plainText(int status, const std::string &text)
{
    return HttpResponse{status, {{"Content-Type", "text/plain; charset=utf-8"}}, text};
}

// Returns the error response for failures that are not reported by a request handler.
HttpResponse httpErrorResponse(int status)
{
    switch (status) {
    case 503:
        return errorResponse(CallerError{503, "too-many-connections", "this entry has too many connections",
                                         RunOutcome::NotRun, BusyRetryAfter},
                             "");
    case 413:
        return errorResponse(CallerError{413, "too-large", "the request is larger than this entry accepts"}, "");
    case 404:
        return errorResponse(CallerError{404, "not-found", "unknown path"}, "");
    case 414:
        return errorResponse(CallerError{414, "too-large", "the request line is too long"}, "");
    case 500:
        return errorResponse(CallerError{500, "internal", "internal error in this entry", RunOutcome::Unknown}, "");
    default:
        return errorResponse(CallerError{status < 400 ? 400 : status, "invalid-request", "malformed HTTP request"}, "");
    }
}

}

struct ProxyServer::Impl
{
    Impl(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics)
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
                  HttpResponse refusal = httpErrorResponse(status);
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

void ProxyServer::Impl::handle(CallerExchange &exchange)
{
    const CallerRequest &request = exchange.request();
    const bool isModelRequest = request.path == "/v1/completions" || request.path == "/v1/chat/completions";
    if (!isModelRequest && !request.path.starts_with("/services/")) {
        this->handleUtilityPath(exchange);
        return;
    }
    if (isModelRequest && request.method != "POST") {
        exchange.reply(errorResponse(CallerError{405, "invalid-request", "only POST is allowed on this path"}, ""));
        return;
    }
    this->core.hooks.publishLoad(++this->core.inProgress);
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
            exchange.reply(httpErrorResponse(500));
        }
    }
    this->core.hooks.publishLoad(--this->core.inProgress);
}

void ProxyServer::Impl::handleUtilityPath(CallerExchange &exchange)
{
    const CallerRequest &request = exchange.request();
    const bool isGet = request.method == "GET" || request.method == "HEAD";
    if (isGet && request.path == "/v1/entry") {
        const FleetViewPtr view = this->core.hooks.fleetView();
        if (view->isolated || !view->ready) {
            exchange.reply(
                errorResponse(CallerError{503, view->isolated ? "isolated" : "not-ready",
                                          "this entry does not have the current fleet state; use another entry",
                                          RunOutcome::NotRun, BusyRetryAfter},
                              ""));
            return;
        }
        exchange.reply(entryResponse(request, *view, this->serviceHandler.guard().newTicket()));
    } else if (isGet && request.path == "/healthz") {
        exchange.reply(plainText(200, "ok\n"));
    } else if (isGet && request.path == "/readyz") {
        const auto refusal = this->core.refusal();
        exchange.reply(refusal ? plainText(503, refusal->type + "\n") : plainText(200, "ready\n"));
    } else if (isGet && request.path == "/metrics") {
        this->core.metrics.set("cyclamencross_requests_in_progress", this->core.inProgress.load());
        HttpResponse response = plainText(200, this->core.metrics.serialize());
        response.headers["Content-Type"] = "text/plain; version=0.0.4";
        exchange.reply(std::move(response));
    } else {
        exchange.reply(httpErrorResponse(404));
    }
}

ProxyServer::ProxyServer(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics)
    : impl(std::make_unique<Impl>(settings, incarnation, std::move(hooks), metrics))
{
}

ProxyServer::~ProxyServer() = default;

bool ProxyServer::start()
{
    return this->impl->server.start(this->impl->core.settings.callerAddress);
}

void ProxyServer::stopAccepting()
{
    this->impl->server.stopAccepting();
}

void ProxyServer::refuseNewWork()
{
    this->impl->core.refusesNewWork.store(true);
}

std::uint32_t ProxyServer::inProgress() const
{
    return this->impl->core.inProgress.load();
}

HttpResponse ProxyServer::handlePeerCall(const HttpRequest &request)
{
    CallerWatch &watch = this->impl->server.callerWatch();
    CancelSignal cancel;
    ++this->impl->core.inProgress;
    HttpResponse response;
    {
        const CallerWatch::Guard watchGuard(watch, cancel, -1);
        response = this->impl->serviceHandler.guard().handlePeerCall(request, cancel);
    }
    --this->impl->core.inProgress;
    return response;
}

}
