#include "cyclamencross/net/datagramport.h"

#include "datagramcodec.h"
#include "replayfilter.h"

#include "cyclamencross/base/ipport.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/processmetrics.h"

#include <array>
#include <atomic>
#include <map>
#include <system_error>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Cyclamen
{

namespace
{

// Holds a burst of slot requests while the receiving thread waits for a processor.
constexpr int ReceiveBufferBytes = 1 << 20;

sockaddr_in toSockaddr(const IpPort &address)
{
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &socketAddress.sin_addr);
    return socketAddress;
}

std::string toString(const sockaddr_in &socketAddress)
{
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &socketAddress.sin_addr, ip.data(), ip.size());
    return std::string(ip.data()) + ":" + std::to_string(ntohs(socketAddress.sin_port));
}

std::string kindName(DatagramKind kind)
{
    switch (kind) {
    case DatagramKind::Ping:
        return "ping";
    case DatagramKind::PingRequest:
        return "ping-request";
    case DatagramKind::Ack:
        return "ack";
    case DatagramKind::SlotAsk:
        return "slot-ask";
    case DatagramKind::SlotReply:
        return "slot-reply";
    case DatagramKind::SlotRelease:
        return "slot-release";
    }
    return "unknown";
}

}

struct DatagramPort::Impl
{
    Impl(std::string sender, std::uint64_t incarnation, const std::string &sharedKey, Metrics &metrics)
        : sender(std::move(sender))
        , incarnation(incarnation)
        , codec(sharedKey)
        , metrics(metrics)
    {
    }

    ~Impl()
    {
        for (const int descriptor : {this->socket, this->stopEvent}) {
            if (descriptor >= 0) {
                ::close(descriptor);
            }
        }
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void countDropped(const char *reason)
    {
        this->metrics.count("cyclamencross_datagrams_dropped_total", {{"reason", reason}});
    }

    void deliver(std::string_view bytes, const sockaddr_in &from);
    void run();

    std::string sender;
    std::uint64_t incarnation;
    DatagramCodec codec;
    Metrics &metrics;
    int socket = -1;
    int stopEvent = -1;
    std::string address;
    std::atomic<std::uint64_t> sequence{0};
    std::map<DatagramKind, Receiver> receivers;
    ReplayFilter replayFilter; ///< Used by the receiving thread only.
    std::thread thread;
};

DatagramPort::DatagramPort(const std::string &address, std::string sender, std::uint64_t incarnation,
                           std::string sharedKey, Metrics &metrics)
    : impl(std::make_unique<Impl>(std::move(sender), incarnation, sharedKey, metrics))
{
    const auto parsed = parseIpPort(address, 0);
    if (!parsed) {
        throw std::system_error(EINVAL, std::generic_category(), "datagram address " + address);
    }
    this->impl->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    this->impl->stopEvent = ::eventfd(0, EFD_CLOEXEC);
    if (this->impl->socket < 0 || this->impl->stopEvent < 0) {
        throw std::system_error(errno, std::generic_category(), "datagram socket");
    }
    ::setsockopt(this->impl->socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    sockaddr_in socketAddress = toSockaddr(*parsed);
    if (::bind(this->impl->socket, reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind datagram address " + address);
    }
    socklen_t size = sizeof socketAddress;
    ::getsockname(this->impl->socket, reinterpret_cast<sockaddr *>(&socketAddress), &size);
    this->impl->address = toString(socketAddress);
}

DatagramPort::~DatagramPort()
{
    if (this->impl->thread.joinable()) {
        const std::uint64_t one = 1;
        if (::write(this->impl->stopEvent, &one, sizeof one) != sizeof one) {
            LogLine("datagram-stop-failed").error();
        }
        this->impl->thread.join();
    }
}

void DatagramPort::receive(DatagramKind kind, Receiver receiver)
{
    this->impl->receivers[kind] = std::move(receiver);
}

void DatagramPort::start()
{
    this->impl->thread = std::thread([this] { this->impl->run(); });
}

void DatagramPort::send(const std::string &address, DatagramKind kind, const std::string &payload)
{
    const auto target = parseIpPort(address);
    if (!target) {
        this->impl->countDropped("bad-address");
        return;
    }
    const std::uint64_t sequence = this->impl->sequence.fetch_add(1) + 1;
    const std::string bytes =
        this->impl->codec.encode(Datagram{this->impl->sender, this->impl->incarnation, sequence, kind, payload, ""});
    if (bytes.size() > MaxBytes) {
        this->impl->countDropped("oversize-sent");
        return;
    }
    const sockaddr_in socketAddress = toSockaddr(*target);
    // Does not wait, since a full socket buffer must not block the control thread.
    const ssize_t sent = ::sendto(this->impl->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                  reinterpret_cast<const sockaddr *>(&socketAddress), sizeof socketAddress);
    if (sent < 0) {
        this->impl->countDropped("send-failed");
        return;
    }
    addControlBytesSent(static_cast<std::uint64_t>(sent));
    this->impl->metrics.count("cyclamencross_datagrams_sent_total", {{"kind", kindName(kind)}});
    this->impl->metrics.count("cyclamencross_datagram_bytes_total", {{"direction", "sent"}}, static_cast<double>(sent));
}

std::string DatagramPort::address() const
{
    return this->impl->address;
}

void DatagramPort::Impl::run()
{
    // One byte more than the limit, to detect datagrams that are too large.
    std::array<char, MaxBytes + 1> buffer{};
    std::array<pollfd, 2> pollFds{pollfd{this->socket, POLLIN, 0}, pollfd{this->stopEvent, POLLIN, 0}};
    while (true) {
        if (::poll(pollFds.data(), pollFds.size(), -1) < 0 && errno != EINTR) {
            LogLine("datagram-poll-failed").add("errno", errno).error();
            return;
        }
        if (pollFds[1].revents != 0) {
            return;
        }
        sockaddr_in from{};
        socklen_t size = sizeof from;
        const ssize_t received = ::recvfrom(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT,
                                            reinterpret_cast<sockaddr *>(&from), &size);
        if (received >= 0) {
            this->deliver(std::string_view(buffer.data(), static_cast<std::size_t>(received)), from);
        }
    }
}

void DatagramPort::Impl::deliver(std::string_view bytes, const sockaddr_in &from)
{
    addControlBytesReceived(bytes.size());
    this->metrics.count("cyclamencross_datagram_bytes_total", {{"direction", "received"}},
                        static_cast<double>(bytes.size()));
    if (bytes.size() > MaxBytes) {
        this->countDropped("oversize-received");
        return;
    }
    auto datagram = this->codec.decode(bytes);
    if (!datagram) {
        this->countDropped("not-authentic");
        return;
    }
    switch (this->replayFilter.check(datagram->sender, datagram->incarnation, datagram->sequence, Clock::now())) {
    case ReplayFilter::Result::Replay:
        this->countDropped("replay");
        return;
    case ReplayFilter::Result::OldIncarnation:
        this->countDropped("old-incarnation");
        return;
    case ReplayFilter::Result::TableFull:
        this->countDropped("sender-table-full");
        return;
    case ReplayFilter::Result::Fresh:
        break;
    }
    const auto receiver = this->receivers.find(datagram->kind);
    if (receiver == this->receivers.end() || !receiver->second) {
        this->countDropped("no-receiver");
        return;
    }
    datagram->from = toString(from);
    try {
        receiver->second(*datagram);
    } catch (const std::exception &error) {
        // A malformed payload from one peer must not end the receiving thread.
        this->countDropped("malformed-payload");
        LogLine("datagram-malformed").add("sender", datagram->sender).add("detail", error.what()).warn();
    }
}

}
