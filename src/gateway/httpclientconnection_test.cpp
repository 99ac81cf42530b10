#include "cyclamencross/gateway/httpclientconnection.h"

#include "asioutil.h"

#include <memory>
#include <string>

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

// Answers one request with the given value of the Keep-Alive header.
awaitable<void> answerOnce(tcp::acceptor &acceptor, std::string keepAlive)
{
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor.async_accept(awaitableWithError(error));
    std::string request;
    co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                           awaitableWithError(error));
    const std::string answer = "HTTP/1.1 200 OK\r\nKeep-Alive: " + keepAlive + "\r\nContent-Length: 2\r\n\r\nok";
    co_await boost::asio::async_write(socket, boost::asio::buffer(answer), awaitableWithError(error));
}

// Returns the idle timeout that a connection reads from the header.
Millis readKeepAlive(const std::string &value)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const auto connection = std::make_shared<HttpClientConnection>(
        context.get_executor(), "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    Millis result{-1};
    boost::asio::co_spawn(context, answerOnce(acceptor, value), boost::asio::detached);
    const auto call = [](std::shared_ptr<HttpClientConnection> client, Millis &timeout) -> awaitable<void> {
        const bool open = co_await client->connect(Millis(1000)) == ConnectionStatus::Ok;
        if (open) {
            std::string request = "GET /";
            const auto status =
                co_await client->performRequest(std::move(request), std::nullopt, Clock::now() + Millis(1000));
            timeout = status == ConnectionStatus::Ok ? client->keepAlive() : timeout;
        }
        client->close();
    };
    boost::asio::co_spawn(context, call(connection, result), boost::asio::detached);
    context.run_for(Millis(2000));
    return result;
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
