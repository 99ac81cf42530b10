#include "callerconnection.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Cyclamen
{

namespace
{

constexpr std::size_t ReadBytes = 16U << 10U;
constexpr Millis IdlePollInterval{200}; // Limits how long waiting callers wait for an idle connection to close.
constexpr Millis StopWriteTimeout{1000}; // For writing the outcome of a request that the stop cancels.

void formatAddress(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

}

CallerConnection::CallerConnection(int socket, const ConnectionLimits &limits, int stopEvent)
    : fd(socket)
    , limits(limits)
    , stopEvent(stopEvent)
{
}

CallerConnection::~CallerConnection()
{
    ::close(this->fd);
}

bool CallerConnection::isServerStopping() const
{
    pollfd polled{this->stopEvent, POLLIN, 0};
    return poll(&polled, 1, 0) > 0;
}

bool CallerConnection::waitReady(short events, Millis timeout) const
{
    std::array<pollfd, 2> polled{{{this->fd, events, 0}, {this->stopEvent, POLLIN, 0}}};
    const int ready = poll(polled.data(), polled.size(), static_cast<int>(timeout.count()));
    if (ready <= 0) {
        return false;
    }
    if (polled[0].revents != 0) {
        return true;
    }
    // The server is stopping: a response may still be written for a short time, but no request is read.
    return events == POLLOUT && poll(polled.data(), 1, static_cast<int>(StopWriteTimeout.count())) > 0;
}

bool CallerConnection::awaitRequest(const std::function<bool()> &othersWaiting)
{
    this->requestBytesRead = 0;
    this->readingHeaders = true;
    this->limitExceeded = false;
    this->bypassesLibrary = false;
    const bool isFirstRequest = std::exchange(this->firstRequest, false);
    const TimePoint end = Clock::now() + this->limits.idleTimeout;
    while (this->readPosition == this->buffer.size()
           && !this->waitReady(POLLIN, std::min(IdlePollInterval, this->limits.idleTimeout))) {
        if (Clock::now() >= end || this->isServerStopping() || (!isFirstRequest && othersWaiting())) {
            return false;
        }
    }
    this->headerDeadline = Clock::now() + this->limits.idleTimeout;
    if (this->readPosition < this->buffer.size()) {
        return true;
    }
    char byte = 0;
    return recv(this->fd, &byte, 1, MSG_PEEK) > 0;
}

void CallerConnection::endHeaders()
{
    this->readingHeaders = false;
    this->requestBytesRead = 0;
}

bool CallerConnection::sizeLimitExceeded() const
{
    return this->limitExceeded;
}

void CallerConnection::bypassLibraryWrites()
{
    this->bypassesLibrary = true;
}

bool CallerConnection::send(std::string_view data)
{
    while (!data.empty() && !this->connectionBroken) {
        const ssize_t sent = ::send(this->fd, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            data.remove_prefix(static_cast<std::size_t>(sent));
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            this->connectionBroken = !this->waitReady(POLLOUT, this->limits.idleTimeout);
        } else if (errno != EINTR) {
            this->connectionBroken = true;
        }
    }
    return !this->connectionBroken;
}

void CallerConnection::closeAfterRequest()
{
    this->closeRequested = true;
}

bool CallerConnection::canKeepAlive() const
{
    return !this->closeRequested && !this->connectionBroken;
}

void CallerConnection::lingeringClose(Millis timeout)
{
    ::shutdown(this->fd, SHUT_WR);
    const TimePoint end = Clock::now() + timeout;
    std::array<char, ReadBytes> discarded{};
    while (Clock::now() < end) {
        const auto remaining = std::chrono::duration_cast<Millis>(end - Clock::now());
        if (!this->waitReady(POLLIN, remaining)
            || recv(this->fd, discarded.data(), discarded.size(), MSG_DONTWAIT) <= 0) {
            return;
        }
    }
}

bool CallerConnection::is_readable() const
{
    return this->readPosition < this->buffer.size() || this->waitReady(POLLIN, this->limits.idleTimeout);
}

bool CallerConnection::is_writable() const
{
    char byte = 0;
    return !this->connectionBroken && recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

ssize_t CallerConnection::read(char *data, size_t size)
{
    const std::size_t limit = this->readingHeaders ? this->limits.maxHeaderBytes : this->limits.maxBodyBytes;
    if (this->requestBytesRead >= limit) {
        // A body whose Content-Length is too large is refused earlier, so this limits headers and chunked bodies.
        this->limitExceeded = true;
        this->closeRequested = true;
        return -1;
    }
    if (this->readPosition == this->buffer.size()) {
        Millis timeout = this->limits.idleTimeout;
        if (this->readingHeaders) {
            timeout = std::chrono::duration_cast<Millis>(this->headerDeadline - Clock::now());
        }
        if (timeout.count() <= 0 || !this->waitReady(POLLIN, timeout)) {
            this->closeRequested =
                true; // Data that arrives later belongs to this request and must not be parsed as a new one.
            return -1;
        }
        this->buffer.resize(ReadBytes);
        this->readPosition = 0;
        const ssize_t received = recv(this->fd, this->buffer.data(), this->buffer.size(), 0);
        this->buffer.resize(static_cast<std::size_t>(std::max<ssize_t>(received, 0)));
        if (received <= 0) {
            this->connectionBroken = true;
            return received;
        }
    }
    const std::size_t copied = std::min(size, this->buffer.size() - this->readPosition);
    std::memcpy(data, this->buffer.data() + this->readPosition, copied);
    this->readPosition += copied;
    this->requestBytesRead += copied;
    return static_cast<ssize_t>(copied);
}

ssize_t CallerConnection::write(const char *data, size_t size)
{
    if (!this->bypassesLibrary && !this->send({data, size})) {
        return -1;
    }
    return static_cast<ssize_t>(size);
}

void CallerConnection::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getpeername(this->fd, reinterpret_cast<sockaddr *>(&address), &size);
    formatAddress(address, ip, port);
}

void CallerConnection::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &size);
    formatAddress(address, ip, port);
}

int CallerConnection::socket() const
{
    return this->fd;
}

}
