#include "emuserver.h"

#include "connection.h"
#include "growingpool.h"
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

constexpr Millis KeepAlive{60000};
constexpr std::size_t MaxThreads = 1024;
constexpr int CrashExitCode = 70;

const std::set<std::string> &commonKinds()
{
    static const std::set<std::string> Kinds = {"stall",       "slow", "late",  "crash", "close",
                                                "answer-lost", "full", "error", "refuse"};
    return Kinds;
}

}

EmuServer::EmuServer(std::set<std::string> kinds, FaultHook hook)
    : kinds(std::move(kinds))
    , hook(std::move(hook))
{
    this->new_task_queue = [] { return new GrowingPool(MaxThreads); };
    this->set_payload_max_length(64U << 20U);
    // The library's default sets SO_REUSEPORT, which would let two stand-ins share a port by mistake.
    this->set_socket_options([this](int descriptor) {
        const int on = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        this->listening.store(descriptor);
    });
    this->plainRoute("POST", "/fault",
                     [this](const auto &request, auto &response) { this->acceptFault(request, response); });
    this->plainRoute("GET", "/fault", [this](const auto &, auto &response) {
        response.set_content(this->faults.list(), "application/json");
    });
    this->plainRoute("DELETE", "/fault", [this](const auto &request, auto &response) {
        this->faults.clear(request.get_param_value("kind"));
        answerJson(response, 200, {{"cleared", true}});
    });
}

Faults &EmuServer::activeFaults()
{
    return this->faults;
}

void EmuServer::countCalls(std::function<void(const std::string &)> counter)
{
    this->counter = std::move(counter);
}

void EmuServer::route(const std::string &method, const std::string &pattern, const Handler &handler)
{
    this->plainRoute(method, pattern,
                     [this, handler](const auto &request, auto &response) { this->serve(request, response, handler); });
}

void EmuServer::plainRoute(const std::string &method, const std::string &pattern, const Handler &handler)
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

void EmuServer::serve(const httplib::Request &request, httplib::Response &response, const Handler &handler)
{
    if (this->counter) {
        this->counter(request.path);
    }
    if (this->failBefore(request, response)) {
        return;
    }
    handler(request, response);
    if (const auto fault = this->faults.take("late", request.path, request.body)) {
        std::this_thread::sleep_for(fault->delay);
    }
    if (this->faults.take("answer-lost", request.path, request.body)) {
        Connection::breakOff();
    }
}

void EmuServer::crashIfTold(const std::string &path, const std::string &text)
{
    if (this->faults.take("crash", path, text)) {
        std::_Exit(CrashExitCode);
    }
}

bool EmuServer::failBefore(const httplib::Request &request, httplib::Response &response)
{
    if (const auto fault = this->faults.take("stall", request.path, request.body)) {
        this->faults.stall(*fault);
    }
    if (const auto fault = this->faults.take("slow", request.path, request.body)) {
        std::this_thread::sleep_for(fault->delay);
    }
    this->crashIfTold(request.path, request.body);
    if (this->faults.take("close", request.path, request.body)) {
        Connection::breakOff();
        return true;
    }
    if (this->faults.take("full", request.path, request.body)) {
        answerNotRun(response, 429, "full (injected)");
        return true;
    }
    if (const auto fault = this->faults.take("error", request.path, request.body)) {
        answerJson(response, fault->status, {{"error", "injected"}});
        return true;
    }
    return false;
}

void EmuServer::acceptFault(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = parseJson(request.body);
    Fault fault;
    fault.kind = textMember(body, "kind");
    fault.path = textMember(body, "path");
    fault.text = textMember(body, "text");
    fault.times = static_cast<int>(numberMember(body, "times", -1));
    fault.delay = Millis(numberMember(body, "ms", 0));
    fault.after = static_cast<int>(numberMember(body, "after", 0));
    fault.status = static_cast<int>(numberMember(body, "status", 503));
    if (fault.kind == "crash" && fault.text.empty() && fault.path.empty()) {
        std::_Exit(CrashExitCode);
    }
    if (fault.kind == "refuse") {
        answerJson(response, 200, {{"accepted", true}});
        // The answer leaves before the connections are cut.
        std::thread([this, delay = fault.delay] {
            std::this_thread::sleep_for(Millis(50));
            this->refuseMs.store(delay.count());
            this->stop();
            this->cutConnections();
        }).detach();
        return;
    }
    if (this->hook(fault)) {
        answerJson(response, 200, {{"accepted", true}});
        return;
    }
    if (!commonKinds().contains(fault.kind) && !this->kinds.contains(fault.kind)) {
        answerJson(response, 400, {{"error", "unknown kind of fault: " + fault.kind}});
        return;
    }
    const std::uint64_t id = this->faults.add(fault);
    LogLine("fault").add("kind", fault.kind).add("path", fault.path).add("times", fault.times).write();
    answerJson(response, 200, {{"accepted", true}, {"id", id}});
}

void EmuServer::cutConnections()
{
    const std::lock_guard lock(this->mutex);
    for (const int descriptor : this->connections) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

bool EmuServer::process_and_close_socket(int descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
        const std::lock_guard lock(this->mutex);
        this->connections.insert(descriptor);
    }
    {
        Connection connection(descriptor);
        bool closed = false;
        while (!closed && connection.waitForRequest(KeepAlive)
               && this->process_request(connection, false, closed, nullptr)) { }
    }
    const std::lock_guard lock(this->mutex);
    this->connections.erase(descriptor);
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
        ::listen(this->listening.load(), SOMAXCONN);
        LogLine("listening").add("address", address).write();
        this->listen_after_bind();
        std::this_thread::sleep_for(Millis(this->refuseMs.exchange(0)));
    }
    LogLine("bind-failed").add("address", address).error();
    return false;
}

}
