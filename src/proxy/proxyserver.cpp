#include "cyclamencross/proxy/proxyserver.h"

#include "callerserver.h"
#include "entryanswer.h"
#include "modelflow.h"
#include "serviceflow.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/net/peerhttp.h"

namespace Cyclamen
{

namespace
{

constexpr Millis BusyRetryAfter{1000};

HttpReply plain(int status, const std::string &text)
{
    return HttpReply{status, {{"Content-Type", "text/plain; charset=utf-8"}}, text};
}

// Refusals of the HTTP layer, before a request is read or routed.
HttpReply earlyRefusal(int status)
{
    switch (status) {
    case 503:
        return errorReply(CallerError{503, "too-many-connections", "this entry has too many connections",
                                      RunOutcome::NotRun, BusyRetryAfter},
                          "");
    case 413:
        return errorReply(CallerError{413, "too-large", "the request is larger than this entry accepts"}, "");
    case 404:
        return errorReply(CallerError{404, "not-found", "there is no such path"}, "");
    case 414:
        return errorReply(CallerError{414, "too-large", "the request line is too long"}, "");
    case 500:
        return errorReply(
            CallerError{500, "internal", "the request ended by a fault of this entry", RunOutcome::Unknown}, "");
    default:
        return errorReply(CallerError{status < 400 ? 400 : status, "invalid-request", "malformed HTTP request"}, "");
    }
}

}

struct ProxyServer::Members
{
    Members(const Settings &settings, std::uint64_t incarnation, ProxyHooks hooks, Metrics &metrics)
        : core(settings, incarnation, std::move(hooks), metrics)
        , models(core, registry)
        , services(core, registry,
                   [this](const std::string &address, const HttpRequest &request, Millis timeout) {
                       return callPeer(address, request, this->core.settings.sharedKey, timeout);
                   })
        , server(
              settings.maxConnections, ConnectionLimits{settings.idleTimeout, 64U << 10U, settings.maxBodyBytes},
              [this](CallerExchange &exchange) { this->handle(exchange); },
              [&metrics](int status) {
                  HttpReply refusal = earlyRefusal(status);
                  metrics.count("cyclamencross_refusals_total", {{"type", errorType(refusal)}});
                  return refusal;
              })
    {
    }

    void handle(CallerExchange &exchange);
    void answerSimple(CallerExchange &exchange);

    ProxyCore core;
    CallRegistry registry;
    ModelFlow models;
    ServiceFlow services;
    CallerServer server; // Last, so that it ends its threads before what they use is destroyed.
};

void ProxyServer::Members::handle(CallerExchange &exchange)
{
    const CallerRequest &request = exchange.request();
    const bool model = request.path == "/v1/completions" || request.path == "/v1/chat/completions";
    if (!model && !request.path.starts_with("/services/")) {
        this->answerSimple(exchange);
        return;
    }
    if (model && request.method != "POST") {
        exchange.reply(errorReply(CallerError{405, "invalid-request", "only POST is answered here"}, ""));
        return;
    }
    this->core.hooks.setLoad(++this->core.inProgress);
    try {
        if (model) {
            this->models.handle(exchange);
        } else {
            this->services.handle(exchange);
        }
    } catch (const std::exception &fault) {
        LogLine("request-fault").add("path", request.path).add("detail", fault.what()).error();
        if (exchange.streamBegun()) {
            exchange.abortStream();
        } else {
            exchange.reply(earlyRefusal(500));
        }
    }
    this->core.hooks.setLoad(--this->core.inProgress);
}

void ProxyServer::Members::answerSimple(CallerExchange &exchange)
{
    const CallerRequest &request = exchange.request();
    const bool get = request.method == "GET" || request.method == "HEAD";
    if (get && request.path == "/v1/entry") {
        const FleetViewPtr view = this->core.hooks.view();
        if (view->isolated || !view->ready) {
            exchange.reply(errorReply(CallerError{503, view->isolated ? "isolated" : "not-ready",
                                                  "this entry does not know the fleet; ask another one",
                                                  RunOutcome::NotRun, BusyRetryAfter},
                                      ""));
            return;
        }
        exchange.reply(answerEntry(request, *view, this->services.guard().newTicket()));
    } else if (get && request.path == "/healthz") {
        exchange.reply(plain(200, "ok\n"));
    } else if (get && request.path == "/readyz") {
        const auto refusal = this->core.refusal();
        exchange.reply(refusal ? plain(503, refusal->type + "\n") : plain(200, "ready\n"));
    } else if (get && request.path == "/metrics") {
        this->core.metrics.set("cyclamencross_requests_in_progress", this->core.inProgress.load());
        HttpReply reply = plain(200, this->core.metrics.text());
        reply.headers["Content-Type"] = "text/plain; version=0.0.4";
        exchange.reply(std::move(reply));
    } else {
        exchange.reply(earlyRefusal(404));
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
        const CallerWatch::Guard watched(watch, cancel, -1);
        reply = this->members->services.guard().answerPeer(request, cancel);
    }
    --this->members->core.inProgress;
    return reply;
}

}
