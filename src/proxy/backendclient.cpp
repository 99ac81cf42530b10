#include "backendclient.h"

#include "cyclamencross/base/ipport.h"
#include "cyclamencross/net/responsehead.h"

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

// A dying process closes its sockets one after another, so its listener may still accept connections shortly after a
// connection broke.
constexpr int MaxRefusalProbes = 5;
constexpr Millis RefusalProbeInterval{10};

// Owns a duplicate of a client's socket descriptor, by which another thread can shut the connection down.
class DuplicatedSocket
{
public:
    DuplicatedSocket() = default;
    ~DuplicatedSocket()
    {
        if (this->descriptor >= 0) {
            close(this->descriptor);
        }
    }
    DuplicatedSocket(const DuplicatedSocket &) = delete;
    DuplicatedSocket &operator=(const DuplicatedSocket &) = delete;

    void duplicate(int socket)
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

std::string BackendResponse::header(const std::string &name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

BackendClient::BackendClient(Millis connectTimeout, Millis ioTimeout)
    : connectTimeout(connectTimeout)
    , ioTimeout(ioTimeout)
{
}

ExchangeResult BackendClient::send(const BackendRequest &request, CancelSignal &cancel) const
{
    return this->stream(request, cancel, nullptr);
}

ExchangeResult BackendClient::stream(const BackendRequest &request, CancelSignal &cancel,
                                     const Receiver &receiver) const
{
    const auto target = parseIpPort(request.address);
    if (!target || cancel.reason() != CancelReason::None) {
        return ConnectFailed{request.address};
    }
    httplib::Client client(target->ip, target->port);
    client.set_connection_timeout(this->connectTimeout);
    client.set_read_timeout(this->ioTimeout);
    client.set_write_timeout(this->ioTimeout);
    client.set_tcp_nodelay(true);
    client.set_url_encode(false);
    client.set_decompress(false);

    httplib::Request outgoing;
    outgoing.method = request.method;
    outgoing.path = request.target;
    outgoing.body = request.body;
    for (const auto &[name, value] : request.headers) {
        outgoing.headers.emplace(name, value);
    }
    BackendResponse reply;
    const auto copyHead = [&reply](const httplib::Response &response) {
        if (!isValidResponseHead(response)) {
            return false;
        }
        reply.status = response.status;
        for (const auto &[name, value] : response.headers) {
            reply.headers.emplace(name, value);
        }
        return true;
    };
    outgoing.response_handler = copyHead;
    outgoing.content_receiver = [&](const char *data, std::size_t size, std::uint64_t /*offset*/,
                                    std::uint64_t /*total*/) {
        if (receiver && reply.status == 200) {
            return receiver({data, size});
        }
        reply.body.append(data, size);
        return reply.body.size() <= MaxBufferedBytes;
    };

    // Client::stop() blocks while the client connects. The interrupt handler therefore shuts the socket down through a
    // duplicate descriptor, which also cannot be reused by another connection meanwhile.
    DuplicatedSocket duplicatedSocket;
    client.set_socket_options([&duplicatedSocket](int socket) { duplicatedSocket.duplicate(socket); });
    const CancelSignal::InterruptHandler interruption(cancel, [&duplicatedSocket] { duplicatedSocket.shutDown(); });
    httplib::Response response;
    httplib::Error error = httplib::Error::Success;
    if (client.send(outgoing, response, error)) {
        // cpp-httplib calls response_handler only for responses with a body.
        if (reply.status == 0 && !copyHead(response)) {
            return ExchangeFailed{request.address, "malformed head"};
        }
        return reply;
    }
    if (isConnectError(error)) {
        return ConnectFailed{request.address};
    }
    if (cancel.reason() != CancelReason::None) {
        return CallerDisconnected{};
    }
    return ExchangeFailed{request.address, httplib::to_string(error)};
}

bool BackendClient::probeRefused(const std::string &address) const
{
    const auto target = parseIpPort(address);
    if (!target) {
        return false;
    }
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(target->port);
    inet_pton(AF_INET, target->ip.c_str(), &endpoint.sin_addr);
    int connectError = 0;
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&endpoint), sizeof endpoint) != 0) {
        connectError = errno;
        pollfd polled{descriptor, POLLOUT, 0};
        socklen_t size = sizeof connectError;
        if (connectError == EINPROGRESS && poll(&polled, 1, static_cast<int>(this->connectTimeout.count())) > 0) {
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &connectError, &size);
        }
    }
    close(descriptor);
    return connectError == ECONNREFUSED;
}

bool BackendClient::refusesConnection(const std::string &address) const
{
    for (int probes = 1; !this->probeRefused(address); ++probes) {
        if (probes == MaxRefusalProbes) {
            return false;
        }
        std::this_thread::sleep_for(RefusalProbeInterval);
    }
    return true;
}

}
