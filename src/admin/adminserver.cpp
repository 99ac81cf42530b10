#include "cyclamencross/admin/adminserver.h"

#include "signaturememory.h"

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
// Connections past the threads and their line that wait for the one thread that refuses.
constexpr std::size_t RefusalsWaiting = 31;
// At 1,000 signed requests a second, 61 s of signatures; about 10 MB.
constexpr std::size_t MaxSignatures = 65536;
// A forwarded call wraps the caller's body, which escaping may lengthen.
constexpr std::size_t EnvelopeBytes = 1U << 20U;
constexpr std::size_t EnvelopeFactor = 2;
constexpr Millis ListenPollPeriod{1};

struct Route
{
    RouteAccess access = RouteAccess::Open;
    AdminServer::Handler handler;
};

using Routes = std::map<std::pair<std::string, std::string>, Route>; // by path and method

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

void allowRebind(socket_t socket)
{
    // The library's default is SO_REUSEPORT, which would let two processes share one port unnoticed.
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
}

}

struct AdminServer::Members
{
    Members(const Settings &settings, Metrics &metrics)
        : settings(settings)
        , metrics(metrics)
        , maxBody(settings.maxBodyBytes * EnvelopeFactor + EnvelopeBytes)
        , signatures(MaxSignatures, unixSeconds())
    {
    }

    // Decides what can be decided before the body is read. Returns the refusal, or nothing.
    std::optional<HttpReply> refuseHead(const httplib::Request &request) const;
    std::optional<HttpReply> checkSignature(const HttpRequest &request, const std::string &signature);
    // Checks the signature where the route asks for one, and calls the route's handler.
    HttpReply answer(const httplib::Request &request, std::string body);
    void write(const httplib::Request &request, const HttpReply &reply, httplib::Response &response);
    void answerWithBody(const httplib::Request &request, httplib::Response &response,
                        const httplib::ContentReader &reader);
    void setUp();

    Settings settings;
    Metrics &metrics;
    std::size_t maxBody;
    Routes routes;
    SignatureMemory signatures;
    std::function<bool()> isReady = [] { return true; };
    httplib::Server server;
    std::atomic<bool> ended{false};
    std::thread listener;
};

std::optional<HttpReply> AdminServer::Members::refuseHead(const httplib::Request &request) const
{
    if (BoundedTaskQueue::isOverflowThread()) {
        return adminRefusal(503, "overloaded", "all threads of the admin port are busy");
    }
    const std::string path = pathOf(request);
    const auto route = this->routes.find({path, request.method});
    if (route == this->routes.end()) {
        const auto other = this->routes.lower_bound({path, ""});
        if (other != this->routes.end() && other->first.first == path) {
            return adminRefusal(405, "method-not-allowed", path + " has no method " + request.method);
        }
        return adminRefusal(404, "no-such-route", "no route " + path);
    }
    // With two signatures, one could be checked and the other one remembered as used.
    if (route->second.access == RouteAccess::Signed && request.get_header_value_count(SignatureHeader) != 1) {
        return adminRefusal(401, "not-authentic", path + " needs one Peer-Signature");
    }
    return std::nullopt;
}

std::optional<HttpReply> AdminServer::Members::checkSignature(const HttpRequest &request, const std::string &signature)
{
    const std::int64_t now = unixSeconds();
    if (!isAuthentic(request, this->settings.sharedKey, now)) {
        LogLine("admin-refused").add("path", request.path).add("reason", "not-authentic").warn();
        return adminRefusal(401, "not-authentic", "the signature is wrong or older than 30 s");
    }
    switch (this->signatures.record(signature, now)) {
    case SignatureMemory::Verdict::New:
        break;
    case SignatureMemory::Verdict::Replay:
        LogLine("admin-refused").add("path", request.path).add("reason", "replay").warn();
        return adminRefusal(401, "replayed", "a request with this signature was accepted before");
    case SignatureMemory::Verdict::TooEarly:
        LogLine("admin-refused").add("path", request.path).add("reason", "signed-before-start").warn();
        return adminRefusal(401, "signed-before-start", "the request was signed before this process started");
    case SignatureMemory::Verdict::Full:
        return adminRefusal(503, "overloaded", "too many signed requests within a minute");
    }
    return std::nullopt;
}

HttpReply AdminServer::Members::answer(const httplib::Request &request, std::string body)
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

void AdminServer::Members::write(const httplib::Request &request, const HttpReply &reply, httplib::Response &response)
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
    // Only known paths become labels, since each new label value takes memory for good.
    this->metrics.count("cyclamencross_admin_requests_total",
                        {{"path", known ? pathOf(request) : "other"}, {"status", std::to_string(reply.status)}});
}

void AdminServer::Members::answerWithBody(const httplib::Request &request, httplib::Response &response,
                                          const httplib::ContentReader &reader)
{
    if (request.is_multipart_form_data()) {
        this->write(request, adminRefusal(415, "unsupported-media-type", "multipart bodies are not supported"),
                    response);
        return;
    }
    // The library's own limit doesn't hold for chunked bodies.
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
        this->write(request,
                    adminRefusal(413, "body-too-large", "the body exceeds " + std::to_string(this->maxBody) + " bytes"),
                    response);
    } else if (!complete) {
        this->write(request, adminRefusal(400, "incomplete-body", "the body could not be read"), response);
    } else {
        this->write(request, this->answer(request, std::move(body)), response);
    }
}

void AdminServer::Members::setUp()
{
    const std::size_t threads = this->settings.adminThreads;
    this->server.new_task_queue = [threads] {
        return newHttpTaskQueue(
            std::make_shared<BoundedTaskQueue>(TaskQueueLimits{threads, threads, 1, RefusalsWaiting}));
    };
    this->server.set_socket_options(allowRebind);
    this->server.set_tcp_nodelay(true);
    // An idle connection would hold one of the threads.
    this->server.set_keep_alive_max_count(1);
    this->server.set_read_timeout(this->settings.idleTimeout);
    this->server.set_write_timeout(this->settings.idleTimeout);
    this->server.set_payload_max_length(this->maxBody);
    this->server.set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &response) {
        const auto refused = this->refuseHead(request);
        if (!refused) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        this->write(request, *refused, response);
        return httplib::Server::HandlerResponse::Handled;
    });
    this->server.set_exception_handler(
        [this](const httplib::Request &request, httplib::Response &response, const std::exception_ptr & /*fault*/) {
            LogLine("admin-handler-failed").add("path", request.target).error();
            this->write(request, adminError(500, RunOutcome::Unknown, "internal", "the request could not be handled"),
                        response);
        });
    this->server.Get(".*", [this](const httplib::Request &request, httplib::Response &response) {
        this->write(request, this->answer(request, {}), response);
    });
    this->server.Post(
        ".*",
        [this](const httplib::Request &request, httplib::Response &response, const httplib::ContentReader &reader) {
            this->answerWithBody(request, response, reader);
        });
}

AdminServer::AdminServer(const Settings &settings, Metrics &metrics)
    : members(std::make_unique<Members>(settings, metrics))
{
    this->route("GET", "/metrics", RouteAccess::Open,
                [&metrics](const HttpRequest &) { return plainText(metrics.text()); });
    this->route("GET", "/healthz", RouteAccess::Open, [](const HttpRequest &) { return plainText("ok\n"); });
    this->route("GET", "/readyz", RouteAccess::Open, [this](const HttpRequest &) {
        return this->members->isReady() ? plainText("ready\n")
                                        : adminRefusal(503, "not-ready", "the state of the fleet is not known yet");
    });
    this->members->setUp();
}

AdminServer::~AdminServer()
{
    this->stop();
}

void AdminServer::stop()
{
    if (this->members->listener.joinable()) {
        this->members->server.stop();
        this->members->listener.join();
    }
}

void AdminServer::readiness(std::function<bool()> isReady)
{
    this->members->isReady = std::move(isReady);
}

void AdminServer::route(const std::string &method, const std::string &path, RouteAccess access, Handler handler)
{
    this->members->routes[{path, method}] = Route{access, std::move(handler)};
}

bool AdminServer::start()
{
    const auto address = parseIpPort(this->members->settings.adminAddress);
    if (!address || !this->members->server.bind_to_port(address->ip, address->port)) {
        return false;
    }
    this->members->listener = std::thread([this] {
        this->members->server.listen_after_bind();
        this->members->ended.store(true);
    });
    // The library ignores a stop() that comes before the listener runs.
    while (!this->members->server.is_running() && !this->members->ended.load()) {
        std::this_thread::sleep_for(ListenPollPeriod);
    }
    return !this->members->ended.load();
}

}
