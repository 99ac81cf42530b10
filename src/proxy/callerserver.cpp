#include "callerserver.h"

#include "cyclamencross/base/ipport.h"
#include "cyclamencross/net/boundedtaskqueue.h"

#include <memory>

#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Cyclamen
{

namespace
{

// With 5, the default of cpp-httplib, bursts of connections wait for a SYN retransmission.
constexpr int ListenBacklog = 1024;
// With 5, the default of cpp-httplib, callers would reconnect after every fifth request.
constexpr std::size_t MaxKeepAliveRequests = 100000;
// Threads that refuse connections beyond the limit, and the number of connections that may wait for one of them.
constexpr std::size_t OverflowThreads = 4;
constexpr std::size_t OverflowQueueLength = 64;
constexpr Millis RefusalReadTimeout{1000};
constexpr Millis LingerTime{200};

// State of the request that the current thread handles. cpp-httplib does not pass the connection to its handlers.
thread_local CallerConnection *currentConnection = nullptr;
thread_local CallerRequest::Headers currentHeaders;
thread_local bool currentHasResponse = false;

bool expectsBody(const std::string &method)
{
    return method != "GET" && method != "HEAD" && method != "OPTIONS";
}

bool hasBody(const CallerRequest::Headers &headers)
{
    const auto length = headers.find("Content-Length");
    return headers.contains("Transfer-Encoding") || (length != headers.end() && length->second != "0");
}

void fillResponse(httplib::Response &response, const HttpReply &reply)
{
    response.status = reply.status;
    std::string contentType = "application/json";
    for (const auto &[name, value] : reply.headers) {
        if (strcasecmp(name.c_str(), "Content-Type") == 0) {
            contentType = value;
        } else {
            response.set_header(name, value);
        }
    }
    response.set_content(reply.body, contentType);
}

}

class CallerServer::Listener : public httplib::Server
{
public:
    Listener(std::size_t maxConnections, ConnectionLimits limits, CallerServer::Handler handler,
             RefusalBuilder buildRefusal, CallerWatch &watch)
        : limits(limits)
        , handler(std::move(handler))
        , buildRefusal(std::move(buildRefusal))
        , watch(watch)
        , stopEvent(eventfd(0, EFD_CLOEXEC))
    {
        this->new_task_queue = [this, maxConnections] {
            this->queue = std::make_shared<BoundedTaskQueue>(
                TaskQueueLimits{maxConnections, 0, OverflowThreads, OverflowQueueLength});
            return newHttpTaskQueue(this->queue);
        };
        // Replaces the SO_REUSEPORT of cpp-httplib, with which two processes can bind the same port without an error.
        this->set_socket_options([](int socket) {
            const int enable = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
        });
        this->set_payload_max_length(limits.maxBodyBytes);
        // These two values are only announced in the Keep-Alive header; CallerConnection enforces the limits.
        this->set_keep_alive_timeout(std::chrono::duration_cast<std::chrono::seconds>(limits.idleTimeout).count());
        this->set_keep_alive_max_count(MaxKeepAliveRequests);
        const auto handle = [this](const httplib::Request &request, httplib::Response &response) {
            this->handle(request, response);
        };
        const char *anyPath = "/.*";
        this->Get(anyPath, handle).Post(anyPath, handle).Put(anyPath, handle).Patch(anyPath, handle);
        this->Delete(anyPath, handle).Options(anyPath, handle);
        this->set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &response) {
            return this->refuseEarly(request, response);
        });
        this->set_exception_handler([this](const httplib::Request &, httplib::Response &response, std::exception_ptr) {
            fillResponse(response, this->buildRefusal(500));
        });
        this->set_error_handler([this](const httplib::Request &, httplib::Response &response) {
            // A response of the handler is kept, even if it is an error without a body.
            if (!currentHasResponse) {
                fillResponse(response,
                             this->buildRefusal(currentConnection->sizeLimitExceeded() ? 413 : response.status));
            }
        });
    }

    ~Listener() override
    {
        ::close(this->stopEvent);
    }

    void raiseBacklog()
    {
        ::listen(this->svr_sock_, ListenBacklog);
    }

    void signalStop()
    {
        eventfd_write(this->stopEvent, 1);
    }

    int port = 0;

private:
    bool process_and_close_socket(socket_t socket) override
    {
        const int enable = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
        ConnectionLimits connectionLimits = this->limits;
        const bool overflow = BoundedTaskQueue::isOverflowThread();
        if (overflow) {
            connectionLimits.idleTimeout = RefusalReadTimeout;
        }
        CallerConnection connection(socket, connectionLimits, this->stopEvent);
        currentConnection = &connection;
        bool closed = false;
        do {
            currentHasResponse = false;
            if (!connection.awaitRequest([this] { return this->queue->isFull(); })) {
                break;
            }
            this->process_request(connection, overflow, closed,
                                  [&connection](httplib::Request &request) { onHeadersRead(connection, request); });
        } while (!closed && !overflow && connection.canKeepAlive());
        connection.lingeringClose(LingerTime);
        currentConnection = nullptr;
        return true;
    }

    // Removes the headers by which cpp-httplib would decompress, split or parse the body, compress the response or
    // reduce it to ranges. The router passes both on unchanged; currentHeaders keeps the original headers.
    static void onHeadersRead(CallerConnection &connection, httplib::Request &request)
    {
        connection.endHeaders();
        currentHeaders.clear();
        for (const auto &[name, value] : request.headers) {
            currentHeaders.emplace(name, value);
        }
        for (const char *name : {"Content-Type", "Content-Encoding", "Accept-Encoding", "Range"}) {
            request.headers.erase(name);
        }
        request.ranges.clear();
    }

    HandlerResponse refuseEarly(const httplib::Request &request, httplib::Response &response)
    {
        int status = 0;
        const std::uint64_t length = request.get_header_value<std::uint64_t>("Content-Length");
        if (BoundedTaskQueue::isOverflowThread()) {
            status = 503;
        } else if (length > this->limits.maxBodyBytes) {
            status = 413;
        } else if (!expectsBody(request.method) && hasBody(currentHeaders)) {
            status = 400;
        }
        if (status == 0) {
            return HandlerResponse::Unhandled;
        }
        currentHasResponse = true;
        // The body is not read, so the connection cannot be reused for another request.
        fillResponse(response, this->buildRefusal(status));
        response.set_header("Connection", "close");
        currentConnection->closeAfterRequest();
        return HandlerResponse::Handled;
    }

    void handle(const httplib::Request &request, httplib::Response &response)
    {
        CallerRequest received;
        received.method = request.method;
        received.target = request.target;
        received.path = request.target.substr(0, request.target.find('?'));
        for (const auto &[name, value] : request.params) {
            received.parameters.emplace(name, value);
        }
        received.headers = std::move(currentHeaders);
        received.body = request.body;
        CallerExchange exchange(std::move(received), currentConnection);
        {
            const CallerWatch::Guard watchGuard(this->watch, exchange.cancelSignal(), currentConnection->socket());
            this->handler(exchange);
        }
        currentHasResponse = true;
        if (exchange.streamStarted()) {
            response.status = 200;
        } else if (exchange.fullReply()) {
            fillResponse(response, *exchange.fullReply());
        }
    }

    ConnectionLimits limits;
    CallerServer::Handler handler;
    RefusalBuilder buildRefusal;
    CallerWatch &watch;
    std::shared_ptr<BoundedTaskQueue> queue;
    int stopEvent;
};

CallerServer::CallerServer(std::size_t maxConnections, ConnectionLimits limits, Handler handler,
                           RefusalBuilder buildRefusal)
    : listener(
        std::make_unique<Listener>(maxConnections, limits, std::move(handler), std::move(buildRefusal), this->watch))
{
}

CallerServer::~CallerServer()
{
    this->watch.cancelAll(CancelReason::Stopping);
    this->listener->signalStop();
    this->stopAccepting();
    if (this->acceptor.joinable()) {
        this->acceptor.join();
    }
}

bool CallerServer::start(const std::string &address)
{
    const auto endpoint = parseIpPort(address, 0);
    if (!endpoint) {
        return false;
    }
    if (endpoint->port == 0) {
        this->listener->port = this->listener->bind_to_any_port(endpoint->ip);
    } else if (this->listener->bind_to_port(endpoint->ip, endpoint->port)) {
        this->listener->port = endpoint->port;
    }
    if (this->listener->port <= 0) {
        return false;
    }
    this->listener->raiseBacklog();
    this->acceptor = std::thread([this] { this->listener->listen_after_bind(); });
    // stop() has no effect before the accept loop runs.
    while (!this->listener->is_running()) {
        std::this_thread::sleep_for(Millis(1));
    }
    return true;
}

int CallerServer::port() const
{
    return this->listener->port;
}

CallerWatch &CallerServer::callerWatch()
{
    return this->watch;
}

void CallerServer::stopAccepting()
{
    this->listener->stop();
}

}
