#include "cyclamencross/admin/adminserver.h"

#include "signaturecache.h"

#include "cyclamencross/admin/adminerror.h"
#include "cyclamencross/base/ipport.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/timing.h"
#include "cyclamencross/net/boundedtaskqueue.h"
#include "cyclamencross/net/peerhttp.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include <httplib.h>
#include <sys/socket.h>

namespace Cyclamen
{

namespace
{

constexpr auto SignatureHeader = "Peer-Signature";
// Connections that may wait for the overflow thread, which refuses them.
constexpr std::size_t MaxQueuedRefusals = 31;
// Enough for 61 s at 1,000 signed requests a second; takes about 10 MB.
constexpr std::size_t MaxSignatures = 65536;
// A forwarded call contains the caller's body, which is longer after escaping, and further fields.
constexpr std::size_t BodyOverheadBytes = 1U << 20U;
constexpr std::size_t BodyExpansionFactor = 2;
constexpr Millis ListenPollPeriod{1};

struct Route
{
    RouteAccess access = RouteAccess::Open;
    AdminServer::Handler handler;
};

using Routes = std::map<std::pair<std::string, std::string>, Route>; // Keyed by path and method.

std::string pathOf(const httplib::Request &request)
{
    return request.target.substr(0, request.target.find('?'));
}

HttpRequest convert(const httplib::Request &request, std::string body)
{
    HttpRequest converted{request.method, request.target, {}, std::move(body)};
    for (const auto &[name, value] : request.headers) {
        converted.headers.emplace(name, value);
    }
    return converted;
}

HttpReply plainText(std::string body)
{
    return HttpReply{200, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(body)};
}

void setSocketOptions(socket_t socket)
{
    // cpp-httplib's default is SO_REUSEPORT, which would let two processes share one port unnoticed.
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

}

struct AdminServer::Impl
{
    Impl(const Settings &settings, Metrics &metrics)
        : settings(settings)
        , metrics(metrics)
        , maxBody(settings.maxBodyBytes * BodyExpansionFactor + BodyOverheadBytes)
        , signatures(MaxSignatures, unixSeconds())
    {
    }

    // Checks the request before its body is read. Returns the error response if it is refused.
    std::optional<HttpReply> checkHead(const httplib::Request &request) const;
    // Returns the error response if the signature is invalid or was used before.
    std::optional<HttpReply> checkSignature(const HttpRequest &request, const std::string &signature);
    // Checks the signature if the route requires one, and calls the handler of the route.
    HttpReply handleRequest(const httplib::Request &request, std::string body);
    void writeReply(const httplib::Request &request, const HttpReply &reply, httplib::Response &response);
    void handleRequestWithBody(const httplib::Request &request, httplib::Response &response,
                               const httplib::ContentReader &reader);
    void configureServer();

    Settings settings;
    Metrics &metrics;
    std::size_t maxBody;
    Routes routes;
    SignatureCache signatures;
    std::function<bool()> isReady = [] { return true; };
    httplib::Server server;
    std::atomic<bool> listenerEnded{false};
    std::thread listener;
};

std::optional<HttpReply> AdminServer::Impl::checkHead(const httplib::Request &request) const
{
    if (BoundedTaskQueue::isOverflowThread()) {
        return adminRefusal(503, "overloaded", "all threads of the admin port are busy");
    }
    const std::string path = pathOf(request);
    const auto route = this->routes.find({path, request.method});
    if (route == this->routes.end()) {
        const auto other = this->routes.lower_bound({path, ""});
        if (other != this->routes.end() && other->first.first == path) {
            return adminRefusal(405, "method-not-allowed", path + " does not support the method " + request.method);
        }
        return adminRefusal(404, "no-such-route", "no route " + path);
    }
    // With two signatures, one might be verified and the other one recorded as used.
    if (route->second.access == RouteAccess::Signed && request.get_header_value_count(SignatureHeader) != 1) {
        return adminRefusal(401, "not-authentic", path + " requires exactly one Peer-Signature header");
    }
    return std::nullopt;
}

std::optional<HttpReply> AdminServer::Impl::checkSignature(const HttpRequest &request, const std::string &signature)
{
    const std::int64_t now = unixSeconds();
    if (!isAuthentic(request, this->settings.sharedKey, now)) {
        LogLine("admin-refused").add("path", request.path).add("reason", "not-authentic").warn();
        return adminRefusal(401, "not-authentic", "the signature is wrong or older than 30 s");
    }
    switch (this->signatures.record(signature, now)) {
    case SignatureCache::Result::New:
        break;
    case SignatureCache::Result::Replay:
        LogLine("admin-refused").add("path", request.path).add("reason", "replay").warn();
        return adminRefusal(401, "replayed", "a request with this signature was accepted before");
    case SignatureCache::Result::BeforeStart:
        LogLine("admin-refused").add("path", request.path).add("reason", "signed-before-start").warn();
        return adminRefusal(401, "signed-before-start", "the request was signed before this process started");
    case SignatureCache::Result::Full:
        return adminRefusal(503, "overloaded", "too many signed requests within a minute");
    }
    return std::nullopt;
}

HttpReply AdminServer::Impl::handleRequest(const httplib::Request &request, std::string body)
{
    const HttpRequest converted = convert(request, std::move(body));
    const Route &route = this->routes.at({pathOf(request), request.method});
    if (route.access == RouteAccess::Signed) {
        auto refused = this->checkSignature(converted, request.get_header_value(SignatureHeader));
        if (refused) {
            return std::move(*refused);
        }
    }
    return route.handler(converted);
}

void AdminServer::Impl::writeReply(const httplib::Request &request, const HttpReply &reply, httplib::Response &response)
{
    std::string type = "application/json";
    for (const auto &[name, value] : reply.headers) {
        if (name == "Content-Type") {
            type = value;
        } else {
            response.set_header(name, value);
        }
    }
    response.status = reply.status;
    response.set_content(reply.body, type);
    const bool known = this->routes.contains({pathOf(request), request.method});
    // Only known paths become label values, since the memory of a label value is never released.
    this->metrics.count("cyclamencross_admin_requests_total",
                        {{"path", known ? pathOf(request) : "other"}, {"status", std::to_string(reply.status)}});
}

void AdminServer::Impl::handleRequestWithBody(const httplib::Request &request, httplib::Response &response,
                                              const httplib::ContentReader &reader)
{
    if (request.is_multipart_form_data()) {
        this->writeReply(request, adminRefusal(415, "unsupported-media-type", "multipart bodies are not supported"),
                         response);
        return;
    }
    // cpp-httplib does not apply its own limit to chunked bodies.
    std::string body;
    bool tooLarge = false;
    const bool complete = reader([&](const char *data, std::size_t size) {
        tooLarge = tooLarge || body.size() + size > this->maxBody;
        if (!tooLarge) {
            body.append(data, size);
        }
        return !tooLarge;
    });
    if (tooLarge || response.status == 413) {
        this->writeReply(
            request,
            adminRefusal(413, "body-too-large", "the body exceeds " + std::to_string(this->maxBody) + " bytes"),
            response);
    } else if (!complete) {
        this->writeReply(request, adminRefusal(400, "incomplete-body", "the body could not be read"), response);
    } else {
        this->writeReply(request, this->handleRequest(request, std::move(body)), response);
    }
}

void AdminServer::Impl::configureServer()
{
    const std::size_t threads = this->settings.adminThreads;
    this->server.new_task_queue = [threads] {
        return newHttpTaskQueue(
            std::make_shared<BoundedTaskQueue>(TaskQueueLimits{threads, threads, 1, MaxQueuedRefusals}));
    };
    this->server.set_socket_options(setSocketOptions);
    this->server.set_tcp_nodelay(true);
    // One request per connection, since an idle keep-alive connection would occupy a thread.
    this->server.set_keep_alive_max_count(1);
    this->server.set_read_timeout(this->settings.idleTimeout);
    this->server.set_write_timeout(this->settings.idleTimeout);
    this->server.set_payload_max_length(this->maxBody);
    this->server.set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &response) {
        const auto refused = this->checkHead(request);
        if (!refused) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        this->writeReply(request, *refused, response);
        return httplib::Server::HandlerResponse::Handled;
    });
    this->server.set_exception_handler([this](const httplib::Request &request, httplib::Response &response,
                                              const std::exception_ptr & /*fault*/) {
        LogLine("admin-handler-failed").add("path", request.target).error();
        this->writeReply(request, adminError(500, RunOutcome::Unknown, "internal", "the request could not be handled"),
                         response);
    });
    this->server.Get(".*", [this](const httplib::Request &request, httplib::Response &response) {
        this->writeReply(request, this->handleRequest(request, {}), response);
    });
    this->server.Post(
        ".*",
        [this](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
            this->handleRequestWithBody(request, response, reader);
        });
}

AdminServer::AdminServer(const Settings &settings, Metrics &metrics)
    : impl(std::make_unique<Impl>(settings, metrics))
{
    this->route("GET", "/metrics", RouteAccess::Open,
                [&metrics](const HttpRequest &) { return plainText(metrics.text()); });
    this->route("GET", "/healthz", RouteAccess::Open, [](const HttpRequest &) { return plainText("ok\n"); });
    this->route("GET", "/readyz", RouteAccess::Open, [this](const HttpRequest &) {
        return this->impl->isReady() ? plainText("ready\n")
                                     : adminRefusal(503, "not-ready", "the state of the fleet is not known yet");
    });
    this->impl->configureServer();
}

AdminServer::~AdminServer()
{
    this->stop();
}

void AdminServer::stop()
{
    if (this->impl->listener.joinable()) {
        this->impl->server.stop();
        this->impl->listener.join();
    }
}

void AdminServer::readiness(std::function<bool()> isReady)
{
    this->impl->isReady = std::move(isReady);
}

void AdminServer::route(const std::string &method, const std::string &path, RouteAccess access, Handler handler)
{
    this->impl->routes[{path, method}] = Route{access, std::move(handler)};
}

bool AdminServer::start()
{
    const auto address = parseIpPort(this->impl->settings.adminAddress);
    if (!address || !this->impl->server.bind_to_port(address->ip, address->port)) {
        return false;
    }
    this->impl->listener = std::thread([this] {
        this->impl->server.listen_after_bind();
        this->impl->listenerEnded.store(true);
    });
    // cpp-httplib ignores a stop() that is called before the listener runs.
    while (!this->impl->server.is_running() && !this->impl->listenerEnded.load()) {
        std::this_thread::sleep_for(ListenPollPeriod);
    }
    return !this->impl->listenerEnded.load();
}

}
