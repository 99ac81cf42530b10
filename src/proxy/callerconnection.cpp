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
constexpr Millis IdleStep{200}; // How soon an idle connection makes way for waiting callers.
constexpr Millis StopGrace{1000}; // For writing the outcome of a request that a stop cuts short.

void addressOf(const sockaddr_in &address, std::string &ip, int &port)
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

bool CallerConnection::stopped() const
{
    pollfd polled{this->stopEvent, POLLIN, 0};
    return poll(&polled, 1, 0) > 0;
}

bool CallerConnection::await(short events, Millis longest) const
{
    std::array<pollfd, 2> polled{{{this->fd, events, 0}, {this->stopEvent, POLLIN, 0}}};
    const int ready = poll(polled.data(), polled.size(), static_cast<int>(longest.count()));
    if (ready <= 0) {
        return false;
    }
    if (polled[0].revents != 0) {
        return true;
    }
    // The server stops: a response still gets a short time, a request is not waited for.
    return events == POLLOUT && poll(polled.data(), 1, static_cast<int>(StopGrace.count())) > 0;
}

bool CallerConnection::awaitRequest(const std::function<bool()> &isCrowded)
{
    this->readInRequest = 0;
    this->inHeaders = true;
    this->exceeded = false;
    this->takenOver = false;
    const bool waitsFirst = std::exchange(this->first, false);
    const TimePoint end = Clock::now() + this->limits.idle;
    while (this->position == this->buffer.size() && !this->await(POLLIN, std::min(IdleStep, this->limits.idle))) {
        if (Clock::now() >= end || this->stopped() || (!waitsFirst && isCrowded())) {
            return false;
        }
    }
    this->headerDeadline = Clock::now() + this->limits.idle;
    if (this->position < this->buffer.size()) {
        return true;
    }
    char byte = 0;
    return recv(this->fd, &byte, 1, MSG_PEEK) > 0;
}

void CallerConnection::headersDone()
{
    this->inHeaders = false;
    this->readInRequest = 0;
}

bool CallerConnection::tooLarge() const
{
    return this->exceeded;
}

void CallerConnection::takeOver()
{
    this->takenOver = true;
}

bool CallerConnection::send(std::string_view data)
{
    while (!data.empty() && !this->broken) {
        const ssize_t sent = ::send(this->fd, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            data.remove_prefix(static_cast<std::size_t>(sent));
        } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
            this->broken = !this->await(POLLOUT, this->limits.idle);
        } else if (errno != EINTR) {
            this->broken = true;
        }
    }
    return !this->broken;
}

void CallerConnection::closeAfterRequest()
{
    this->closing = true;
}

bool CallerConnection::mayContinue() const
{
    return !this->closing && !this->broken;
}

void CallerConnection::closeGently(Millis longest)
{
    ::shutdown(this->fd, SHUT_WR);
    const TimePoint end = Clock::now() + longest;
    std::array<char, ReadBytes> discarded{};
    while (Clock::now() < end) {
        const auto left = std::chrono::duration_cast<Millis>(end - Clock::now());
        if (!this->await(POLLIN, left) || recv(this->fd, discarded.data(), discarded.size(), MSG_DONTWAIT) <= 0) {
            return;
        }
    }
}

bool CallerConnection::is_readable() const
{
    return this->position < this->buffer.size() || this->await(POLLIN, this->limits.idle);
}

bool CallerConnection::is_writable() const
{
    char byte = 0;
    return !this->broken && recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0;
}

ssize_t CallerConnection::read(char *data, size_t size)
{
    const std::size_t bound = this->inHeaders ? this->limits.headerBytes : this->limits.bodyBytes;
    if (this->readInRequest >= bound) {
        // Callers that announce their body's length are refused before this; here ends a chunked one.
        this->exceeded = true;
        this->closing = true;
        return -1;
    }
    if (this->position == this->buffer.size()) {
        Millis longest = this->limits.idle;
        if (this->inHeaders) {
            longest = std::chrono::duration_cast<Millis>(this->headerDeadline - Clock::now());
        }
        if (longest.count() <= 0 || !this->await(POLLIN, longest)) {
            this->closing = true; // What comes later is the rest of this request, not a new one.
            return -1;
        }
        this->buffer.resize(ReadBytes);
        this->position = 0;
        const ssize_t got = recv(this->fd, this->buffer.data(), this->buffer.size(), 0);
        this->buffer.resize(static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        if (got <= 0) {
            this->broken = true;
            return got;
        }
    }
    const std::size_t taken = std::min(size, this->buffer.size() - this->position);
    std::memcpy(data, this->buffer.data() + this->position, taken);
    this->position += taken;
    this->readInRequest += taken;
    return static_cast<ssize_t>(taken);
}

ssize_t CallerConnection::write(const char *data, size_t size)
{
    if (!this->takenOver && !this->send({data, size})) {
        return -1;
    }
    return static_cast<ssize_t>(size);
}

void CallerConnection::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getpeername(this->fd, reinterpret_cast<sockaddr *>(&address), &size);
    addressOf(address, ip, port);
}

void CallerConnection::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &size);
    addressOf(address, ip, port);
}

int CallerConnection::socket() const
{
    return this->fd;
}

}
