#include "httpsession.h"

#include "asioutil.h"

#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace Cyclamen;
using boost::asio::ip::tcp;

TEST_CASE("A request that waits unread on an idle connection is answered before the connection is closed")
{
    // Guards against requests that a stopping process resets because it closes connections that it has not read.
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    tcp::socket caller(context);
    caller.connect(acceptor.local_endpoint());
    const auto session = std::make_shared<HttpSession>(
        acceptor.accept(), [] { return CallerLimits(); },
        [](HttpSession &current, RouterRequest & /*request*/) { return current.reply(503, "", HeaderList(), ""); });
    boost::asio::co_spawn(context, session->run(), boost::asio::detached);
    context.run_for(Millis(50));
    boost::asio::write(caller, boost::asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
    session->closeIfIdle();
    std::string answer;
    boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer),
                            [](const boost::system::error_code & /*error*/, std::size_t /*count*/) {});
    context.run_for(Millis(500));
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Connection: close") != std::string::npos);
}
