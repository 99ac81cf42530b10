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

constexpr int Backlog = 1024; // cpp-httplib asks for 5, which makes bursts of callers wait for a repeated SYN.
constexpr std::size_t KeepAliveRequests = 100000; // cpp-httplib announces 5, after which callers would reconnect.
// Threads that refuse connections past the limit, and connections that wait for one of them.
constexpr std::size_t OverflowThreads = 4;
constexpr std::size_t OverflowWaiting = 64;
constexpr Millis RefusalReadTime{1000};
constexpr Millis GentleCloseTime{200};

// The connection whose request the calling thread handles; cpp-httplib's handlers do not carry it.
thread_local CallerConnection *currentConnection = nullptr;
thread_local CallerRequest::Headers currentHeaders;
thread_local bool currentAnswered = false;

bool expectsBody(const std::string &method)
{
    return method != "GET" && method != "HEAD" && method != "OPTIONS";
}

bool hasBody(const CallerRequest::Headers &headers)
{
    const auto length = headers.find("Content-Length");
    return headers.contains("Transfer-Encoding") || (length != headers.end() && length->second != "0");
}

void fill(httplib::Response &response, const HttpReply &reply)
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
    Listener(std::size_t maxConnections, ConnectionLimits limits, CallerServer::Handler handler, Refusal refusal,
             CallerWatch &watch)
        : limits(limits)
        , handler(std::move(handler))
        , refusal(std::move(refusal))
        , watch(watch)
        , stopEvent(eventfd(0, EFD_CLOEXEC))
    {
        this->new_task_queue = [this, maxConnections] {
            this->queue = std::make_shared<BoundedTaskQueue>(
                TaskQueueLimits{maxConnections, 0, OverflowThreads, OverflowWaiting});
            return newHttpTaskQueue(this->queue);
        };
        // cpp-httplib sets SO_REUSEPORT, with which two processes can share a port without an error.
        this->set_socket_options([](int socket) {
            const int yes = 1;
            setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        });
        this->set_payload_max_length(limits.bodyBytes);
        // These two only fill the Keep-Alive header; the bounds themselves hold in CallerConnection.
        this->set_keep_alive_timeout(std::chrono::duration_cast<std::chrono::seconds>(limits.idle).count());
        this->set_keep_alive_max_count(KeepAliveRequests);
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
            fill(response, this->refusal(500));
        });
        this->set_error_handler([this](const httplib::Request &, httplib::Response &response) {
            // An answer of the handler stands, also one without a body.
            if (!currentAnswered) {
                fill(response, this->refusal(currentConnection->tooLarge() ? 413 : response.status));
            }
        });
    }

    ~Listener() override
    {
        ::close(this->stopEvent);
    }

    void deepenBacklog()
    {
        ::listen(this->svr_sock_, Backlog);
    }

    void endConnections()
    {
        eventfd_write(this->stopEvent, 1);
    }

    int port = 0;

private:
    bool process_and_close_socket(socket_t socket) override
    {
        const int yes = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        ConnectionLimits bounds = this->limits;
        const bool overflow = BoundedTaskQueue::isOverflowThread();
        if (overflow) {
            bounds.idle = RefusalReadTime;
        }
        CallerConnection connection(socket, bounds, this->stopEvent);
        currentConnection = &connection;
        bool closed = false;
        do {
            currentAnswered = false;
            if (!connection.awaitRequest([this] { return this->queue->isFull(); })) {
                break;
            }
            this->process_request(connection, overflow, closed,
                                  [&connection](httplib::Request &request) { prepare(connection, request); });
        } while (!closed && !overflow && connection.mayContinue());
        connection.closeGently(GentleCloseTime);
        currentConnection = nullptr;
        return true;
    }

    // cpp-httplib would unpack, split or parse bodies by these headers, compress the answer and cut it to ranges; this
    // router passes both on as they are.
    static void prepare(CallerConnection &connection, httplib::Request &request)
    {
        connection.headersDone();
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
        } else if (length > this->limits.bodyBytes) {
            status = 413;
        } else if (!expectsBody(request.method) && hasBody(currentHeaders)) {
            status = 400;
        }
        if (status == 0) {
            return HandlerResponse::Unhandled;
        }
        currentAnswered = true;
        // The body stays unread, so the connection cannot carry another request.
        fill(response, this->refusal(status));
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
            const CallerWatch::Guard watched(this->watch, exchange.cancelSignal(), currentConnection->socket());
            this->handler(exchange);
        }
        currentAnswered = true;
        if (exchange.streamBegun()) {
            response.status = 200;
        } else if (exchange.wholeReply()) {
            fill(response, *exchange.wholeReply());
        }
    }

    ConnectionLimits limits;
    CallerServer::Handler handler;
    Refusal refusal;
    CallerWatch &watch;
    std::shared_ptr<BoundedTaskQueue> queue;
    int stopEvent;
};

CallerServer::CallerServer(std::size_t maxConnections, ConnectionLimits limits, Handler handler, Refusal refusal)
    : listener(std::make_unique<Listener>(maxConnections, limits, std::move(handler), std::move(refusal), this->watch))
{
}

CallerServer::~CallerServer()
{
    this->watch.cancelAll(CancelReason::Stopping);
    this->listener->endConnections();
    this->stopAccepting();
    if (this->acceptor.joinable()) {
        this->acceptor.join();
    }
}

bool CallerServer::start(const std::string &address)
{
    const auto wanted = parseIpPort(address, 0);
    if (!wanted) {
        return false;
    }
    if (wanted->port == 0) {
        this->listener->port = this->listener->bind_to_any_port(wanted->ip);
    } else if (this->listener->bind_to_port(wanted->ip, wanted->port)) {
        this->listener->port = wanted->port;
    }
    if (this->listener->port <= 0) {
        return false;
    }
    this->listener->deepenBacklog();
    this->acceptor = std::thread([this] { this->listener->listen_after_bind(); });
    // A stop before the accept loop runs would be lost.
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
