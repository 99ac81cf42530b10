#include "cyclamencross/net/datagramport.h"

#include "envelope.h"
#include "replayguard.h"

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

// Room for a burst of slot questions while the receiving thread waits for a processor.
constexpr int ReceiveBufferBytes = 1 << 20;

sockaddr_in toNative(const IpPort &address)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    return native;
}

std::string toText(const sockaddr_in &native)
{
    std::array<char, INET_ADDRSTRLEN> ip{};
    inet_ntop(AF_INET, &native.sin_addr, ip.data(), ip.size());
    return std::string(ip.data()) + ":" + std::to_string(ntohs(native.sin_port));
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

struct DatagramPort::Members
{
    Members(std::string sender, std::uint64_t incarnation, const std::string &sharedKey, Metrics &metrics)
        : sender(std::move(sender))
        , incarnation(incarnation)
        , envelope(sharedKey)
        , metrics(metrics)
    {
    }

    ~Members()
    {
        for (const int descriptor : {this->socket, this->stopEvent}) {
            if (descriptor >= 0) {
                ::close(descriptor);
            }
        }
    }

    Members(const Members &) = delete;
    Members &operator=(const Members &) = delete;

    void drop(const char *reason)
    {
        this->metrics.count("cyclamencross_datagrams_dropped_total", {{"reason", reason}});
    }

    void deliver(std::string_view bytes, const sockaddr_in &from);
    void run();

    std::string sender;
    std::uint64_t incarnation;
    Envelope envelope;
    Metrics &metrics;
    int socket = -1;
    int stopEvent = -1;
    std::string address;
    std::atomic<std::uint64_t> sequence{0};
    std::map<DatagramKind, Receiver> receivers;
    ReplayGuard guard; // Used by the receiving thread only.
    std::thread thread;
};

DatagramPort::DatagramPort(const std::string &address, std::string sender, std::uint64_t incarnation,
                           std::string sharedKey, Metrics &metrics)
    : members(std::make_unique<Members>(std::move(sender), incarnation, sharedKey, metrics))
{
    const auto parsed = parseIpPort(address, 0);
    if (!parsed) {
        throw std::system_error(EINVAL, std::generic_category(), "datagram address " + address);
    }
    this->members->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    this->members->stopEvent = ::eventfd(0, EFD_CLOEXEC);
    if (this->members->socket < 0 || this->members->stopEvent < 0) {
        throw std::system_error(errno, std::generic_category(), "datagram socket");
    }
    ::setsockopt(this->members->socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    sockaddr_in native = toNative(*parsed);
    if (::bind(this->members->socket, reinterpret_cast<const sockaddr *>(&native), sizeof native) != 0) {
        throw std::system_error(errno, std::generic_category(), "bind datagram address " + address);
    }
    socklen_t size = sizeof native;
    ::getsockname(this->members->socket, reinterpret_cast<sockaddr *>(&native), &size);
    this->members->address = toText(native);
}

DatagramPort::~DatagramPort()
{
    if (this->members->thread.joinable()) {
        const std::uint64_t one = 1;
        if (::write(this->members->stopEvent, &one, sizeof one) != sizeof one) {
            LogLine("datagram-stop-failed").error();
        }
        this->members->thread.join();
    }
}

void DatagramPort::receive(DatagramKind kind, Receiver receiver)
{
    this->members->receivers[kind] = std::move(receiver);
}

void DatagramPort::start()
{
    this->members->thread = std::thread([this] { this->members->run(); });
}

void DatagramPort::send(const std::string &address, DatagramKind kind, const std::string &payload)
{
    const auto target = parseIpPort(address);
    if (!target) {
        this->members->drop("bad-address");
        return;
    }
    const std::uint64_t sequence = this->members->sequence.fetch_add(1) + 1;
    const std::string bytes = this->members->envelope.seal(
        Datagram{this->members->sender, this->members->incarnation, sequence, kind, payload, ""});
    if (bytes.size() > MaxBytes) {
        this->members->drop("oversize-sent");
        return;
    }
    const sockaddr_in native = toNative(*target);
    // A full socket buffer must not stall the control thread, hence no waiting.
    const ssize_t sent = ::sendto(this->members->socket, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                  reinterpret_cast<const sockaddr *>(&native), sizeof native);
    if (sent < 0) {
        this->members->drop("send-failed");
        return;
    }
    addControlBytesSent(static_cast<std::uint64_t>(sent));
    this->members->metrics.count("cyclamencross_datagrams_sent_total", {{"kind", kindName(kind)}});
    this->members->metrics.count("cyclamencross_datagram_bytes_total", {{"direction", "sent"}},
                                 static_cast<double>(sent));
}

std::string DatagramPort::address() const
{
    return this->members->address;
}

void DatagramPort::Members::run()
{
    // One byte more than allowed shows that a datagram was too large.
    std::array<char, MaxBytes + 1> buffer{};
    std::array<pollfd, 2> waiting{pollfd{this->socket, POLLIN, 0}, pollfd{this->stopEvent, POLLIN, 0}};
    while (true) {
        if (::poll(waiting.data(), waiting.size(), -1) < 0 && errno != EINTR) {
            LogLine("datagram-poll-failed").add("errno", errno).error();
            return;
        }
        if (waiting[1].revents != 0) {
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

void DatagramPort::Members::deliver(std::string_view bytes, const sockaddr_in &from)
{
    addControlBytesReceived(bytes.size());
    this->metrics.count("cyclamencross_datagram_bytes_total", {{"direction", "received"}},
                        static_cast<double>(bytes.size()));
    if (bytes.size() > MaxBytes) {
        this->drop("oversize-received");
        return;
    }
    auto datagram = this->envelope.open(bytes);
    if (!datagram) {
        this->drop("not-authentic");
        return;
    }
    switch (this->guard.check(datagram->sender, datagram->incarnation, datagram->sequence, Clock::now())) {
    case ReplayGuard::Verdict::Replay:
        this->drop("replay");
        return;
    case ReplayGuard::Verdict::OldIncarnation:
        this->drop("old-incarnation");
        return;
    case ReplayGuard::Verdict::TableFull:
        this->drop("sender-table-full");
        return;
    case ReplayGuard::Verdict::Fresh:
        break;
    }
    const auto receiver = this->receivers.find(datagram->kind);
    if (receiver == this->receivers.end() || !receiver->second) {
        this->drop("no-receiver");
        return;
    }
    datagram->from = toText(from);
    try {
        receiver->second(*datagram);
    } catch (const std::exception &error) {
        // A malformed payload of one peer must not end the receiving thread.
        this->drop("malformed-payload");
        LogLine("datagram-malformed").add("sender", datagram->sender).add("detail", error.what()).warn();
    }
}

}
