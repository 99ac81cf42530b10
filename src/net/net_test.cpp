#include "datagramcodec.h"
#include "replayfilter.h"

#include "../testserver.h"

#include "cyclamencross/base/errors.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/net/datagramsocket.h"
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

// A listening loopback socket that does not accept connections by itself.
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
    std::string ipPort() const
    {
        return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
};

enum class CallOutcome { Reply, ConnectFailed, ExchangeFailed, Other };

CallOutcome outcomeOfCall(const std::string &address)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<CallOutcome> {
            BOOST_LEAF_CHECK(callPeer(address, HttpRequest{"POST", "/x", {}, "body"}, Key, Millis(200)));
            return CallOutcome::Reply;
        },
        [](const ConnectFailed &) { return CallOutcome::ConnectFailed; },
        [](const ExchangeFailed &) { return CallOutcome::ExchangeFailed; }, [] { return CallOutcome::Other; });
}

}

// Guards against accepting a datagram that was modified in transit or signed with another key.
TEST_CASE("a datagram is decoded only if it is unmodified and signed with the same key")
{
    const DatagramCodec codec(Key);
    const Datagram datagram{"entry-1", 7, 9, DatagramKind::Ack, "payload", ""};
    const std::string bytes = codec.encode(datagram);
    CHECK(codec.decode(bytes) == datagram);
    CHECK_FALSE(DatagramCodec("another key").decode(bytes));
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string changed = bytes;
        changed[at] = static_cast<char>(changed[at] ^ 1);
        CHECK_FALSE(codec.decode(changed));
        CHECK_FALSE(codec.decode(std::string_view(bytes).substr(0, at)));
    }
}

// Guards against processing a datagram twice when the network reorders and repeats datagrams.
TEST_CASE("each sequence number is accepted at most once")
{
    CHECK(rc::check([](const std::vector<std::uint16_t> &arrivals) {
        ReplayFilter filter;
        std::set<std::uint64_t> accepted;
        std::uint64_t highest = 0;
        for (const std::uint16_t arrival : arrivals) {
            const std::uint64_t sequence = arrival % 3000U + 1;
            const bool fresh = filter.check("a", 1, sequence, TimePoint()) == ReplayFilter::Result::Fresh;
            const bool inWindow = sequence + ReplayFilter::WindowWidth > highest;
            RC_ASSERT(fresh == (inWindow && !accepted.contains(sequence)));
            if (fresh) {
                accepted.insert(sequence);
                highest = std::max(highest, sequence);
            }
        }
    }));
}

// Guards against datagrams from a process, or replayed from it, that are accepted after its successor has started, and
// against a table that grows without bound.
TEST_CASE("older incarnations are rejected and the sender table is bounded")
{
    ReplayFilter filter;
    CHECK(filter.check("a", 5, 1, TimePoint()) == ReplayFilter::Result::Fresh);
    CHECK(filter.check("a", 6, 1, TimePoint()) == ReplayFilter::Result::Fresh);
    CHECK(filter.check("a", 5, 2, TimePoint()) == ReplayFilter::Result::OldIncarnation);
    for (std::size_t i = filter.senders(); i < ReplayFilter::MaxSenders; ++i) {
        filter.check("sender-" + std::to_string(i), 1, 1, TimePoint());
    }
    CHECK(filter.check("late", 1, 1, TimePoint()) == ReplayFilter::Result::TableFull);
    CHECK(filter.check("late", 1, 1, TimePoint() + ReplayFilter::SenderIdleTimeout) == ReplayFilter::Result::Fresh);
    const std::uint64_t first = newIncarnation();
    CHECK(first >> 20U <= newIncarnation() >> 20U);
}

// Guards against datagrams that are delivered without the identity of their sender, and against truncated oversize
// ones.
TEST_CASE("a socket delivers authentic datagrams and drops oversize ones")
{
    Metrics metrics;
    DatagramSocket receiver("127.0.0.1:0", "receiver", 1, Key, metrics);
    DatagramSocket sender("127.0.0.1:0", "sender", 42, Key, metrics);
    DatagramSocket wrongKeySender("127.0.0.1:0", "stranger", 1, "another key, also of some length", metrics);
    std::promise<Datagram> arrived;
    receiver.setReceiver(DatagramKind::Ping, [&](const Datagram &datagram) { arrived.set_value(datagram); });
    receiver.start();
    wrongKeySender.send(receiver.address(), DatagramKind::Ping, "forged");
    sender.send(receiver.address(), DatagramKind::Ping, std::string(DatagramSocket::MaxBytes, 'x'));
    sender.send(receiver.address(), DatagramKind::Ping, "hello");
    auto future = arrived.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    const Datagram datagram = future.get();
    CHECK(datagram.sender == "sender");
    CHECK(datagram.incarnation == 42);
    CHECK(datagram.payload == "hello");
    CHECK(datagram.from == sender.address());
    CHECK(metrics.serialize().find("reason=\"oversize-sent\"") != std::string::npos);
    CHECK(metrics.serialize().find("reason=\"not-authentic\"") != std::string::npos);
}

// Guards against a signature that is accepted for another request or after its lifetime.
TEST_CASE("a signature is valid for one request and thirty seconds")
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

// Guards against reporting that a call was not sent although it may have reached the peer.
TEST_CASE("only a failed connect is reported as not sent")
{
    std::string closedAddress;
    {
        const Listener closed;
        closedAddress = closed.ipPort();
    }
    CHECK(outcomeOfCall(closedAddress) == CallOutcome::ConnectFailed);
    CHECK(outcomeOfCall("no address") == CallOutcome::ConnectFailed);
    // The kernel completes the connect, so the request is sent but never answered.
    const Listener silent;
    CHECK(outcomeOfCall(silent.ipPort()) == CallOutcome::ExchangeFailed);
    const Listener closing;
    std::thread peer([&closing] { ::close(::accept(closing.descriptor, nullptr, nullptr)); });
    CHECK(outcomeOfCall(closing.ipPort()) == CallOutcome::ExchangeFailed);
    peer.join();
}

// Guards against a request target that is re-encoded after signing, which the receiver would reject.
TEST_CASE("the signature of a call is valid at the receiver")
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
    const auto response =
        callPeer(server.address(), HttpRequest{"POST", "/peer/call?key=a%20b&c=d", {}, "body"}, Key, Millis(5000));
    REQUIRE(response);
    CHECK(response->body == "fine");
    CHECK(authentic);
}
