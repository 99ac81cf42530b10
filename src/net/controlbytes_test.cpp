#include "../testserver.h"

#include "cyclamencross/base/metrics.h"
#include "cyclamencross/base/processmetrics.h"
#include "cyclamencross/net/datagramport.h"
#include "cyclamencross/net/peerhttp.h"

#include <future>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

const std::string Key = "0123456789abcdef0123456789abcdef";

double controlBytes(const std::string &direction)
{
    Metrics metrics;
    ProcessMetrics(metrics).publish();
    const std::string text = metrics.text();
    const std::string name = "\ncyclamencross_control_bytes_" + direction + " ";
    const auto begin = text.find(name);
    REQUIRE(begin != std::string::npos);
    return std::stod(text.substr(begin + name.size()));
}

}

// Guards against control traffic that is measured without the datagrams or the peer calls.
TEST_CASE("datagrams and peer calls are counted as control bytes")
{
    Metrics metrics;
    DatagramPort receiver("127.0.0.1:0", "receiver", 1, Key, metrics);
    DatagramPort sender("127.0.0.1:0", "sender", 1, Key, metrics);
    std::promise<void> arrived;
    receiver.receive(DatagramKind::Ping, [&](const Datagram &) { arrived.set_value(); });
    receiver.start();
    const double sent = controlBytes("sent");
    const double received = controlBytes("received");
    sender.send(receiver.address(), DatagramKind::Ping, std::string(100, 'x'));
    REQUIRE(arrived.get_future().wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    const double datagram = controlBytes("sent") - sent;
    CHECK(datagram > 100);
    CHECK(controlBytes("received") - received == datagram);

    TestServer server;
    server.server.Post("/peer/call", [](const httplib::Request &, httplib::Response &response) {
        response.set_content(std::string(30, 'y'), "text/plain");
    });
    server.start();
    const auto reply =
        callPeer(server.address(), HttpRequest{"POST", "/peer/call", {}, std::string(20, 'x')}, Key, Millis(10000));
    server.stop();
    REQUIRE(reply);
    CHECK(controlBytes("sent") - sent == datagram + 20);
    CHECK(controlBytes("received") - received == datagram + 30);
}
