#include "cyclamencross/gateway/httpclientconnection.h"

#include "asioutil.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace
{

// How a server ends its connection after an answer.
enum class End { Close, Reset };

// Answers one request with @p answer and ends the connection.
awaitable<void> answerOnce(tcp::acceptor &acceptor, std::string answer, End end)
{
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor.async_accept(awaitableWithError(error));
    std::string request;
    co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                           awaitableWithError(error));
    co_await boost::asio::async_write(socket, boost::asio::buffer(answer), awaitableWithError(error));
    if (end == End::Reset) {
        co_await sleepFor(Millis(50)); // Until the client has read the answer so far.
        socket.set_option(tcp::socket::linger(true, 0), error);
    }
}

// What a client has read of an answer.
struct Received
{
    ConnectionStatus result = ConnectionStatus::Cancelled;
    int status = 0;
    std::string body;
    Millis keepAlive{-1};
};

// Sends a request with @p body to a server that gives @p answer, and returns what the client reads.
Received exchange(const std::string &answer, const std::string &body = "", End end = End::Close)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto connection = std::make_shared<HttpClientConnection>(
        context.get_executor(), "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    Received received;
    boost::asio::co_spawn(context, answerOnce(acceptor, answer, end), boost::asio::detached);
    const auto call = [](std::shared_ptr<HttpClientConnection> client, std::string content,
                         Received &read) -> awaitable<void> {
        const TimePoint deadline = Clock::now() + Millis(1000);
        read.result = co_await client->connect(Millis(1000));
        if (read.result == ConnectionStatus::Ok) {
            std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(content.size());
            client->startRequest(head + "\r\n\r\n", false, RequestBody(std::move(content)));
            read.result = co_await client->readHead(deadline);
        }
        if (read.result == ConnectionStatus::Ok) {
            read.status = client->status();
            read.keepAlive = client->keepAlive();
            read.result = co_await client->readBody(deadline);
            read.body = client->takeBody();
        }
        client->close();
    };
    boost::asio::co_spawn(context, call(connection, body, received), boost::asio::detached);
    context.run_for(Millis(2000));
    return received;
}

// Returns the idle timeout that a connection reads from the header.
Millis readKeepAlive(const std::string &value)
{
    return exchange("HTTP/1.1 200 OK\r\nKeep-Alive: " + value + "\r\nContent-Length: 2\r\n\r\nok").keepAlive;
}

}

TEST_CASE("The idle timeout of a server is read from its Keep-Alive header, however long that is")
{
    // Guards against reads of freed memory: longer values were misread, and a connection was used after the timeout of
    // its server.
    CHECK(readKeepAlive("timeout=2") == Millis(2000));
    CHECK(readKeepAlive("timeout=2, max=1000") == Millis(2000));
    CHECK(readKeepAlive("max=1000, timeout=15, extension=0123456789012345678901234567890123456789") == Millis(15000));
    CHECK(readKeepAlive("max=5") == Millis(0));
    CHECK(readKeepAlive("timeout=x") == Millis(0));
}

TEST_CASE("A very long idle timeout of a server is bounded")
{
    // Guards against an overflow that makes the longest timeouts negative.
    for (const char *value : {"timeout=18446744073709551615", "timeout=9223372036854775807", "timeout=86401"}) {
        CHECK(readKeepAlive(value) == Millis(86400000));
    }
}

TEST_CASE("An answer whose status is not one of HTTP is malformed")
{
    // Guards against callers that get a status such as 000 of an engine in trouble as an answer.
    for (const char *status : {"000", "001", "099", "600", "999", "101", "20", "2000", "2x0", "-20", "+20", ""}) {
        CAPTURE(status);
        const std::string line = std::string("HTTP/1.1 ") + status + " X\r\n";
        CHECK(exchange(line + "Content-Length: 2\r\n\r\nok").result == ConnectionStatus::Malformed);
    }
    for (const int status : {200, 204, 299, 304, 404, 500, 599}) {
        CAPTURE(status);
        const bool hasBody = status != 204 && status != 304;
        const auto received = exchange("HTTP/1.1 " + std::to_string(status) + " X\r\n"
                                       + (hasBody ? "Content-Length: 2\r\n\r\nok" : "\r\n"));
        CHECK(received.result == ConnectionStatus::Ok);
        CHECK(received.status == status);
        CHECK(received.body == (hasBody ? "ok" : ""));
    }
}

TEST_CASE("An answer in whose head the name of a field is no token is malformed")
{
    // Guards against a field of the framing that the router does not recognize, so that callers get a body that is not
    // the engine's, and against lines that callers read in another way than the router.
    const std::string controls("\0\1\t\v\x1f\x7f", 6);
    std::vector<std::string> names{
        "Content Length", "Content-Length ", " Content-Length", "X\xe9", "X(", "X\"", "X/", ""};
    for (const char control : controls) {
        names.push_back(std::string("Content") + control + "Length");
        names.push_back(std::string("X-Long-Enough-For-Sixteen-Bytes-At-Once") + control);
        names.push_back(control + std::string("Content-Length"));
    }
    for (const std::string &name : names) {
        CAPTURE(name);
        for (const std::string &before : {std::string(), std::string("Server-Stamp: s\r\n")}) {
            const std::string head = "HTTP/1.1 200 OK\r\n" + before + name + ": 2\r\n";
            CHECK(exchange(head + "\r\nok").result == ConnectionStatus::Malformed);
            CHECK(exchange(head + "Content-Length: 2\r\n\r\nok").result == ConnectionStatus::Malformed);
        }
    }
    CHECK(exchange("HTTP/1.1 200 OK\r\nNo-Colon\r\nContent-Length: 2\r\n\r\nok").result == ConnectionStatus::Malformed);
    CHECK(exchange("HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~9aZ: x\r\nContent-Length: 2\r\n\r\nok").body == "ok");
}

TEST_CASE("An answer with a control byte in the value of a field is malformed")
{
    // Guards against values that callers read in another way than the router.
    for (const char control : std::string("\0\1\v\x1f\x7f\r", 6)) {
        CAPTURE(int(control));
        const std::string head = std::string("HTTP/1.1 200 OK\r\nX: a") + control + "b\r\n";
        CHECK(exchange(head + "Content-Length: 2\r\n\r\nok").result == ConnectionStatus::Malformed);
    }
    CHECK(exchange("HTTP/1.1 200 OK\r\nX:\ta\tb \xe9\t\r\nContent-Length: 2\r\n\r\nok").body == "ok");
}

TEST_CASE("An answer whose fields contradict one another about its length is malformed")
{
    // Guards against a body that is not the server's, and against bytes of it that are taken for the next answer.
    for (const char *fields :
         {"Content-Length: 2\r\nContent-Length: 1\r\n", "Content-Length: 2, 1\r\n", "Content-Length: -2\r\n",
          "Content-Length: +2\r\n", "Content-Length: 0x2\r\n", "Content-Length: 2 2\r\n", "Content-Length:\r\n",
          "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"}) {
        CAPTURE(fields);
        CHECK(exchange(std::string("HTTP/1.1 200 OK\r\n") + fields + "\r\nok").result == ConnectionStatus::Malformed);
    }
}

TEST_CASE("Interim answers come before the final one, but not without end")
{
    // Guards against an interim answer that is taken for the final one, and against reads that never end.
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const char *status : {"100 Continue", "102 Processing", "103 Early Hints"}) {
        std::string interim = std::string("HTTP/1.1 ") + status + "\r\nLink: x\r\n\r\n";
        const auto received = exchange(interim + interim + final);
        CHECK(received.result == ConnectionStatus::Ok);
        CHECK(received.status == 200);
        CHECK(received.body == "ok");
    }
    std::string many;
    for (int i = 0; i < 5000; ++i) {
        many += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    CHECK(exchange(many + final).result == ConnectionStatus::Malformed);
}

TEST_CASE("An answer without a length whose connection is reset during the upload is not a whole one")
{
    // Guards against a part of an answer that callers take for the whole: the write of the request learns of the reset,
    // and the read then sees an end of the connection in good order.
    const std::string part = "HTTP/1.1 200 OK\r\n\r\nhalf of the bo";
    for (const End end : {End::Reset, End::Close}) {
        const auto received = exchange(part, std::string(4U << 20U, 'x'), end);
        CHECK(received.status == 200);
        CHECK(received.result == ConnectionStatus::Broken);
    }
    // The same answer to a request that the server has read is whole.
    const auto received = exchange(part);
    CHECK(received.result == ConnectionStatus::Ok);
    CHECK(received.body == "half of the bo");
}
