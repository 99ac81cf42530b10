#include "connection.h"

#include <algorithm>
#include <cstring>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

namespace Cyclamen
{

namespace
{

constexpr int IoTimeoutMs = 30000;

// Descriptor of the connection that this thread serves; -1 for none.
thread_local int currentDescriptor = -1;

bool pollDescriptor(int descriptor, short events, int timeoutMs)
{
    pollfd entry{descriptor, events, 0};
    return ::poll(&entry, 1, timeoutMs) > 0 && (entry.revents & (events | POLLHUP | POLLERR)) != 0;
}

void formatAddress(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    ::inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

}

Connection::Connection(int descriptor)
    : descriptor(descriptor)
{
    currentDescriptor = descriptor;
}

Connection::~Connection()
{
    currentDescriptor = -1;
}

bool Connection::is_readable() const
{
    return this->begin < this->end || pollDescriptor(this->descriptor, POLLIN, IoTimeoutMs);
}

bool Connection::is_writable() const
{
    return pollDescriptor(this->descriptor, POLLOUT, IoTimeoutMs) && !peerClosed();
}

ssize_t Connection::read(char *data, std::size_t size)
{
    if (this->begin == this->end) {
        if (!this->is_readable()) {
            return -1;
        }
        const ssize_t count = ::recv(this->descriptor, this->buffer.data(), this->buffer.size(), 0);
        if (count <= 0) {
            return count;
        }
        this->begin = 0;
        this->end = static_cast<std::size_t>(count);
    }
    const std::size_t count = std::min(size, this->end - this->begin);
    std::memcpy(data, this->buffer.data() + this->begin, count);
    this->begin += count;
    return static_cast<ssize_t>(count);
}

ssize_t Connection::write(const char *data, std::size_t size)
{
    return pollDescriptor(this->descriptor, POLLOUT, IoTimeoutMs) ? ::send(this->descriptor, data, size, MSG_NOSIGNAL)
                                                                  : -1;
}

void Connection::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getpeername(this->descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
        formatAddress(address, ip, port);
    }
}

void Connection::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    if (::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0) {
        formatAddress(address, ip, port);
    }
}

int Connection::socket() const
{
    return this->descriptor;
}

bool Connection::waitForRequest(Millis timeout) const
{
    return this->begin < this->end
        || (pollDescriptor(this->descriptor, POLLIN, static_cast<int>(timeout.count())) && !peerClosed());
}

bool Connection::peerClosed()
{
    char next = 0;
    const ssize_t count = ::recv(currentDescriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::shutDown()
{
    ::shutdown(currentDescriptor, SHUT_RDWR);
}

}
