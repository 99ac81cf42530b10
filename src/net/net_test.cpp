#include "envelope.h"
#include "replayguard.h"

#include "../testserver.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/net/datagramport.h"
#include "cyclamencross/net/incarnation.h"
#include "cyclamencross/net/peerhttp.h"

#include <future>
#include <thread>

#include <arpa/inet.h>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Cyclamen;

namespace
{

const std::string Key = "0123456789abcdef0123456789abcdef";

// A listening loopback socket that accepts nothing by itself.
struct Listener
{
    Listener()
    {
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(::listen(descriptor, 0) == 0);
        ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    }
    ~Listener()
    {
        ::close(descriptor);
    }
    std::string text() const
    {
        return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
};

enum class CallEnd { Reply, ConnectFailed, ExchangeBroken, Other };

CallEnd endOfCall(const std::string &address)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<CallEnd> {
            BOOST_LEAF_CHECK(callPeer(address, HttpRequest{"POST", "/x", {}, "body"}, Key, Millis(200)));
            return CallEnd::Reply;
        },
        [](const ConnectFailed &) { return CallEnd::ConnectFailed; },
        [](const ExchangeBroken &) { return CallEnd::ExchangeBroken; }, [] { return CallEnd::Other; });
}

}

// Guards against accepting a datagram that was changed on its way or signed with another key.
TEST_CASE("a datagram opens only unchanged and under its own key")
{
    const Envelope envelope(Key);
    const Datagram datagram{"entry-1", 7, 9, DatagramKind::Ack, "payload", ""};
    const std::string bytes = envelope.seal(datagram);
    CHECK(envelope.open(bytes) == datagram);
    CHECK_FALSE(Envelope("another key").open(bytes));
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string changed = bytes;
        changed[at] = static_cast<char>(changed[at] ^ 1);
        CHECK_FALSE(envelope.open(changed));
        CHECK_FALSE(envelope.open(std::string_view(bytes).substr(0, at)));
    }
}

// Guards against processing one datagram twice, whatever the order and repetition on the network.
TEST_CASE("each sequence is accepted at most once")
{
    CHECK(rc::check([](const std::vector<std::uint16_t> &arrivals) {
        ReplayGuard guard;
        std::set<std::uint64_t> accepted;
        std::uint64_t highest = 0;
        for (const std::uint16_t arrival : arrivals) {
            const std::uint64_t sequence = arrival % 3000U + 1;
            const bool fresh = guard.check("a", 1, sequence, TimePoint()) == ReplayGuard::Verdict::Fresh;
            const bool inWindow = sequence + ReplayGuard::WindowWidth > highest;
            RC_ASSERT(fresh == (inWindow && !accepted.contains(sequence)));
            if (fresh) {
                accepted.insert(sequence);
                highest = std::max(highest, sequence);
            }
        }
    }));
}

// Guards against an old process, or a recording of it, being heard beside its successor, and against a table that
// grows without bound.
TEST_CASE("older incarnations are refused and the sender table is bounded")
{
    ReplayGuard guard;
    CHECK(guard.check("a", 5, 1, TimePoint()) == ReplayGuard::Verdict::Fresh);
    CHECK(guard.check("a", 6, 1, TimePoint()) == ReplayGuard::Verdict::Fresh);
    CHECK(guard.check("a", 5, 2, TimePoint()) == ReplayGuard::Verdict::OldIncarnation);
    for (std::size_t i = guard.senders(); i < ReplayGuard::MaxSenders; ++i) {
        guard.check("sender-" + std::to_string(i), 1, 1, TimePoint());
    }
    CHECK(guard.check("late", 1, 1, TimePoint()) == ReplayGuard::Verdict::TableFull);
    CHECK(guard.check("late", 1, 1, TimePoint() + ReplayGuard::IdleLifetime) == ReplayGuard::Verdict::Fresh);
    const std::uint64_t first = newIncarnation();
    CHECK(first >> 20U <= newIncarnation() >> 20U);
}

// Guards against a port that loses its sender's identity, and against an oversize datagram that leaves half read.
TEST_CASE("a port delivers authentic datagrams and drops oversize ones")
{
    Metrics metrics;
    DatagramPort receiver("127.0.0.1:0", "receiver", 1, Key, metrics);
    DatagramPort sender("127.0.0.1:0", "sender", 42, Key, metrics);
    DatagramPort stranger("127.0.0.1:0", "stranger", 1, "another key, also of some length", metrics);
    std::promise<Datagram> arrived;
    receiver.receive(DatagramKind::Ping, [&](const Datagram &datagram) { arrived.set_value(datagram); });
    receiver.start();
    stranger.send(receiver.address(), DatagramKind::Ping, "forged");
    sender.send(receiver.address(), DatagramKind::Ping, std::string(DatagramPort::MaxBytes, 'x'));
    sender.send(receiver.address(), DatagramKind::Ping, "hello");
    auto future = arrived.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    const Datagram datagram = future.get();
    CHECK(datagram.sender == "sender");
    CHECK(datagram.incarnation == 42);
    CHECK(datagram.payload == "hello");
    CHECK(datagram.from == sender.address());
    CHECK(metrics.text().find("reason=\"oversize-sent\"") != std::string::npos);
    CHECK(metrics.text().find("reason=\"not-authentic\"") != std::string::npos);
}

// Guards against a signature that can be moved to another request or used later.
TEST_CASE("a signature holds for one request and thirty seconds")
{
    HttpRequest request{"POST", "/admin/drain?now=1", {}, "body"};
    request.headers["peer-signature"] = signRequest(request, Key, 1000, "nonce");
    CHECK(isAuthentic(request, Key, 1000));
    CHECK(isAuthentic(request, Key, 1030));
    CHECK_FALSE(isAuthentic(request, Key, 1031));
    CHECK_FALSE(isAuthentic(request, Key, 969));
    CHECK_FALSE(isAuthentic(request, "another", 1000));
    for (const auto &changed : {HttpRequest{"PUT", request.path, request.headers, request.body},
                                HttpRequest{request.method, "/admin/drain", request.headers, request.body},
                                HttpRequest{request.method, request.path, request.headers, "BODY"},
                                HttpRequest{request.method, request.path, {}, request.body}}) {
        CHECK_FALSE(isAuthentic(changed, Key, 1000));
    }
}

// Guards against reporting a call that may have reached the peer as one that never left.
TEST_CASE("only a failed connect counts as nothing sent")
{
    std::string closedAddress;
    {
        const Listener closed;
        closedAddress = closed.text();
    }
    CHECK(endOfCall(closedAddress) == CallEnd::ConnectFailed);
    CHECK(endOfCall("no address") == CallEnd::ConnectFailed);
    // The kernel completes the connect; the request leaves and is never answered.
    const Listener silent;
    CHECK(endOfCall(silent.text()) == CallEnd::ExchangeBroken);
    const Listener closing;
    std::thread peer([&closing] { ::close(::accept(closing.descriptor, nullptr, nullptr)); });
    CHECK(endOfCall(closing.text()) == CallEnd::ExchangeBroken);
    peer.join();
}

// Guards against a target that is re-encoded after signing, which the receiver would refuse.
TEST_CASE("a signed call arrives authentic")
{
    TestServer server;
    bool authentic = false;
    server.server.Post(".*", [&](const httplib::Request &request, httplib::Response &response) {
        HttpRequest received{request.method, request.target, {}, request.body};
        received.headers["Peer-Signature"] = request.get_header_value("Peer-Signature");
        authentic = isAuthentic(received, Key, unixSeconds());
        response.set_content("fine", "text/plain");
    });
    server.start();
    const auto reply =
        callPeer(server.address(), HttpRequest{"POST", "/peer/call?key=a%20b&c=d", {}, "body"}, Key, Millis(5000));
    REQUIRE(reply);
    CHECK(reply->body == "fine");
    CHECK(authentic);
}
