#include "backendclient.h"

#include "cyclamencross/base/ipport.h"

#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <httplib.h>

namespace Cyclamen
{

namespace
{

// A dying process closes its sockets one by one, so its listener may still accept when a connection has ended.
constexpr int DeathChecks = 5;
constexpr Millis DeathCheckPeriod{10};

// A second descriptor of a client's socket.
class SocketCopy
{
public:
    SocketCopy() = default;
    ~SocketCopy()
    {
        if (this->descriptor >= 0) {
            close(this->descriptor);
        }
    }
    SocketCopy(const SocketCopy &) = delete;
    SocketCopy &operator=(const SocketCopy &) = delete;

    void take(int socket)
    {
        this->descriptor = dup(socket);
    }

    void shutDown() const
    {
        if (this->descriptor >= 0) {
            shutdown(this->descriptor, SHUT_RDWR);
        }
    }

private:
    std::atomic<int> descriptor{-1};
};

bool isConnectError(httplib::Error error)
{
    return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout
        || error == httplib::Error::BindIPAddress;
}

}

std::string BackendReply::header(const std::string &name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

BackendClient::BackendClient(Millis connectTimeout, Millis silence)
    : connectTimeout(connectTimeout)
    , silence(silence)
{
}

ExchangeEnd BackendClient::send(const BackendRequest &request, CancelSignal &cancel) const
{
    return this->stream(request, cancel, nullptr);
}

ExchangeEnd BackendClient::stream(const BackendRequest &request, CancelSignal &cancel, const Receiver &receiver) const
{
    const auto target = parseIpPort(request.address);
    if (!target || cancel.reason() != CancelReason::None) {
        return ConnectFailed{request.address};
    }
    httplib::Client client(target->ip, target->port);
    client.set_connection_timeout(this->connectTimeout);
    client.set_read_timeout(this->silence);
    client.set_write_timeout(this->silence);
    client.set_tcp_nodelay(true);
    client.set_url_encode(false);
    client.set_decompress(false);

    httplib::Request sent;
    sent.method = request.method;
    sent.path = request.target;
    sent.body = request.body;
    for (const auto &[name, value] : request.headers) {
        sent.headers.emplace(name, value);
    }
    BackendReply reply;
    const auto takeHead = [&reply](const httplib::Response &response) {
        reply.status = response.status;
        for (const auto &[name, value] : response.headers) {
            reply.headers.emplace(name, value);
        }
        return true;
    };
    sent.response_handler = takeHead;
    sent.content_receiver = [&](const char *data, std::size_t size, std::uint64_t /*offset*/, std::uint64_t /*total*/) {
        if (receiver && reply.status == 200) {
            return receiver({data, size});
        }
        reply.body.append(data, size);
        return reply.body.size() <= MaxWholeBytes;
    };

    // Client::stop() waits while the client connects, so the interruption shuts the socket down by a descriptor of its
    // own, which also cannot be reused by another connection meanwhile.
    SocketCopy copy;
    client.set_socket_options([&copy](int socket) { copy.take(socket); });
    const CancelSignal::Interruption interruption(cancel, [&copy] { copy.shutDown(); });
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (client.send(sent, response, error)) {
        if (reply.status == 0) {
            takeHead(response); // cpp-httplib calls the handler only for answers with a body.
        }
        return reply;
    }
    if (isConnectError(error)) {
        return ConnectFailed{request.address};
    }
    if (cancel.reason() != CancelReason::None) {
        return CallerGone{};
    }
    return ExchangeBroken{request.address, httplib::to_string(error)};
}

bool BackendClient::refusesOnce(const std::string &address) const
{
    const auto target = parseIpPort(address);
    if (!target) {
        return false;
    }
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(target->port);
    inet_pton(AF_INET, target->ip.c_str(), &to.sin_addr);
    int failure = 0;
    if (connect(probe, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0) {
        failure = errno;
        pollfd polled{probe, POLLOUT, 0};
        socklen_t size = sizeof failure;
        if (failure == EINPROGRESS && poll(&polled, 1, static_cast<int>(this->connectTimeout.count())) > 0) {
            getsockopt(probe, SOL_SOCKET, SO_ERROR, &failure, &size);
        }
    }
    close(probe);
    return failure == ECONNREFUSED;
}

bool BackendClient::refusesConnection(const std::string &address) const
{
    for (int tries = 1; !this->refusesOnce(address); ++tries) {
        if (tries == DeathChecks) {
            return false;
        }
        std::this_thread::sleep_for(DeathCheckPeriod);
    }
    return true;
}

}
