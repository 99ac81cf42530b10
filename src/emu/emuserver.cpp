#include "emuserver.h"

#include "connection.h"
#include "growingthreadpool.h"
#include "jsonbody.h"

#include "cyclamencross/base/logline.h"

#include <cstdlib>
#include <thread>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Cyclamen
{

namespace
{

constexpr Millis KeepAliveTimeout{60000};
constexpr std::size_t MaxThreads = 1024;
constexpr int CrashExitCode = 70;

const std::set<std::string> &commonFaultKinds()
{
    static const std::set<std::string> FaultKinds = {"stall",       "slow", "late",  "crash", "close",
                                                     "answer-lost", "full", "error", "refuse"};
    return FaultKinds;
}

}

EmuServer::EmuServer(std::set<std::string> routeFaultKinds, FaultHook faultHook)
    : routeFaultKinds(std::move(routeFaultKinds))
    , faultHook(std::move(faultHook))
{
    this->new_task_queue = [] { return new GrowingThreadPool(MaxThreads); };
    this->set_payload_max_length(64U << 20U);
    // cpp-httplib sets SO_REUSEPORT by default, which would let two emulators share a port by mistake.
    this->set_socket_options([this](int descriptor) {
        const int on = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        this->listeningSocket.store(descriptor);
    });
    this->addRouteWithoutFaults(
        "POST", "/fault", [this](const auto &request, auto &response) { this->handleFaultRequest(request, response); });
    this->addRouteWithoutFaults("GET", "/fault", [this](const auto &, auto &response) {
        response.set_content(this->faults.list(), "application/json");
    });
    this->addRouteWithoutFaults("DELETE", "/fault", [this](const auto &request, auto &response) {
        this->faults.clear(request.get_param_value("kind"));
        answerJson(response, 200, {{"cleared", true}});
    });
}

Faults &EmuServer::activeFaults()
{
    return this->faults;
}

void EmuServer::setCallCounter(std::function<void(const std::string &)> callCounter)
{
    this->callCounter = std::move(callCounter);
}

void EmuServer::addRoute(const std::string &method, const std::string &pattern, const Handler &handler)
{
    this->addRouteWithoutFaults(method, pattern, [this, handler](const auto &request, auto &response) {
        this->handleWithFaults(request, response, handler);
    });
}

void EmuServer::addRouteWithoutFaults(const std::string &method, const std::string &pattern, const Handler &handler)
{
    const bool all = method == "*";
    if (all || method == "GET") {
        this->Get(pattern, handler);
    }
    if (all || method == "POST") {
        this->Post(pattern, handler);
    }
    if (all || method == "PUT") {
        this->Put(pattern, handler);
    }
    if (all || method == "DELETE") {
        this->Delete(pattern, handler);
    }
    if (all) {
        this->Patch(pattern, handler);
    }
}

void EmuServer::handleWithFaults(const httplib::Request &request, httplib::Response &response, const Handler &handler)
{
    if (this->callCounter) {
        this->callCounter(request.path);
    }
    if (this->injectFaults(request, response)) {
        return;
    }
    handler(request, response);
    if (const auto fault = this->faults.consume("late", request.path, request.body)) {
        std::this_thread::sleep_for(fault->delay);
    }
    if (this->faults.consume("answer-lost", request.path, request.body)) {
        Connection::shutDown();
    }
}

void EmuServer::crashIfInjected(const std::string &path, const std::string &text)
{
    if (this->faults.consume("crash", path, text)) {
        std::_Exit(CrashExitCode);
    }
}

bool EmuServer::injectFaults(const httplib::Request &request, httplib::Response &response)
{
    if (const auto fault = this->faults.consume("stall", request.path, request.body)) {
        this->faults.waitWhileStalled(*fault);
    }
    if (const auto fault = this->faults.consume("slow", request.path, request.body)) {
        std::this_thread::sleep_for(fault->delay);
    }
    this->crashIfInjected(request.path, request.body);
    if (this->faults.consume("close", request.path, request.body)) {
        Connection::shutDown();
        return true;
    }
    if (this->faults.consume("full", request.path, request.body)) {
        answerNotRun(response, 429, "full (injected)");
        return true;
    }
    if (const auto fault = this->faults.consume("error", request.path, request.body)) {
        answerJson(response, fault->status, {{"error", "injected"}});
        return true;
    }
    return false;
}

void EmuServer::handleFaultRequest(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJsonObject(request.body);
    Fault fault;
    fault.kind = stringMember(body, "kind");
    fault.pathPrefix = stringMember(body, "path");
    fault.bodyText = stringMember(body, "text");
    fault.remainingUses = static_cast<int>(numberMember(body, "times", -1));
    fault.delay = Millis(numberMember(body, "ms", 0));
    fault.afterEvents = static_cast<int>(numberMember(body, "after", 0));
    fault.status = static_cast<int>(numberMember(body, "status", 503));
    if (fault.kind == "crash" && fault.bodyText.empty() && fault.pathPrefix.empty()) {
        std::_Exit(CrashExitCode);
    }
    if (fault.kind == "refuse") {
        answerJson(response, 200, {{"accepted", true}});
        // The answer must be sent before the connections are closed.
        std::thread([this, delay = fault.delay] {
            std::this_thread::sleep_for(Millis(50));
            this->refuseForMs.store(delay.count());
            this->stop();
            this->closeConnections();
        }).detach();
        return;
    }
    if (this->faultHook(fault)) {
        answerJson(response, 200, {{"accepted", true}});
        return;
    }
    if (!commonFaultKinds().contains(fault.kind) && !this->routeFaultKinds.contains(fault.kind)) {
        answerJson(response, 400, {{"error", "unknown kind of fault: " + fault.kind}});
        return;
    }
    const std::uint64_t id = this->faults.add(fault);
    LogLine("fault").add("kind", fault.kind).add("path", fault.pathPrefix).add("times", fault.remainingUses).write();
    answerJson(response, 200, {{"accepted", true}, {"id", id}});
}

void EmuServer::closeConnections()
{
    const std::lock_guard lock(this->mutex);
    for (const int descriptor : this->openSockets) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

bool EmuServer::process_and_close_socket(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
        const std::lock_guard lock(this->mutex);
        this->openSockets.insert(descriptor);
    }
    {
        Connection connection(descriptor);
        bool closed = false;
        while (!closed && connection.waitForRequest(KeepAliveTimeout)
               && this->process_request(connection, false, closed, nullptr)) { }
    }
    const std::lock_guard lock(this->mutex);
    this->openSockets.erase(descriptor);
    ::shutdown(descriptor, SHUT_RDWR);
    ::close(descriptor);
    return true;
}

bool EmuServer::run(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const std::string host = address.substr(0, colon);
    const int port = std::atoi(address.substr(colon + 1).c_str());
    while (this->bind_to_port(host, port)) {
        // cpp-httplib listens with a backlog of 5, which a burst of connections overflows.
        ::listen(this->listeningSocket.load(), SOMAXCONN);
        LogLine("listening").add("address", address).write();
        this->listen_after_bind();
        std::this_thread::sleep_for(Millis(this->refuseForMs.exchange(0)));
    }
    LogLine("bind-failed").add("address", address).error();
    return false;
}

}
