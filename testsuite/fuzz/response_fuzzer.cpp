// Answers of backend servers (HttpClientConnection).

#include "asioutil.h"
#include "check.h"

#include "cyclamencross/gateway/httpclientconnection.h"

#include <algorithm>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

using namespace Cyclamen;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace
{

awaitable<void> serve(tcp::acceptor &acceptor, std::string bytes, std::size_t split, bool &done)
{
    boost::system::error_code error;
    tcp::socket socket = co_await acceptor.async_accept(awaitableWithError(error));
    const boost::asio::const_buffer all = boost::asio::buffer(bytes);
    const boost::asio::const_buffer first(all.data(), split);
    co_await boost::asio::async_write(socket, first, awaitableWithError(error));
    co_await boost::asio::post(acceptor.get_executor(), boost::asio::use_awaitable);
    co_await boost::asio::async_write(socket, all + split, awaitableWithError(error));
    socket.shutdown(tcp::socket::shutdown_send, error);
    while (!done) {
        co_await boost::asio::post(acceptor.get_executor(), boost::asio::use_awaitable);
    }
    // Ends the connection by a reset, which leaves no port in TIME_WAIT.
    socket.set_option(tcp::socket::linger(true, 0), error);
    socket.close(error);
}

awaitable<void> read(std::shared_ptr<HttpClientConnection> client, bool headRequest, bool &done)
{
    const TimePoint until = Clock::now() + Millis(2000);
    const bool open = co_await client->connect(Millis(1000));
    check(open, "a connection can be opened");
    client->startRequest("GET / HTTP/1.1\r\n\r\n", headRequest);
    for (int responses = 0; responses < 4; ++responses) {
        ConnectionStatus status = co_await client->readHead(until);
        check(status != ConnectionStatus::TimedOut, "a head is read or refused at the end of the bytes");
        if (status != ConnectionStatus::Ok) {
            break;
        }
        client->keepAlive();
        client->reason();
        check(client->status() >= 100 && client->status() <= 999, "a status has three digits");
        status = co_await client->readBody(until);
        check(status != ConnectionStatus::TimedOut, "a body is read or refused at the end of the bytes");
        check(status != ConnectionStatus::Ok || client->isComplete(), "a body that was read is complete");
        check(!headRequest || client->takeBody().empty(), "an answer to HEAD has no body");
        if (status != ConnectionStatus::Ok || client->endsWithConnection()) {
            break;
        }
        client->isReusable();
        client->expectNextResponse();
    }
    client->close();
    done = true;
}

}

extern "C" int LLVMFuzzerTestOneInput(const unsigned char *data, std::size_t size)
{
    if (size < 1) {
        return 0;
    }
    static boost::asio::io_context context;
    static tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    static const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    // The first byte says where the bytes are split into two writes, and whether the request was HEAD.
    const std::string bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    const std::size_t split = std::min<std::size_t>(bytes.size(), data[0]);
    bool done = false;
    boost::asio::co_spawn(context, serve(acceptor, bytes, split, done), boost::asio::detached);
    auto client = std::make_shared<HttpClientConnection>(context.get_executor(), address);
    boost::asio::co_spawn(context, read(std::move(client), data[0] % 16 == 0, done), boost::asio::detached);
    context.restart();
    context.run_for(Millis(4000));
    check(done, "a response is read");
    return 0;
}
