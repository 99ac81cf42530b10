#include "asioutil.h"

#include "cyclamencross/base/ipport.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace Cyclamen
{

namespace
{

template<typename Endpoint>
std::optional<Endpoint> toEndpoint(const std::string &address)
{
    const auto parts = parseIpPort(address);
    if (!parts) {
        return std::nullopt;
    }
    return Endpoint(boost::asio::ip::make_address_v4(parts->ip), parts->port);
}

}

std::optional<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const std::string &address)
{
    return toEndpoint<boost::asio::ip::tcp::endpoint>(address);
}

std::optional<boost::asio::ip::udp::endpoint> toUdpEndpoint(const std::string &address)
{
    return toEndpoint<boost::asio::ip::udp::endpoint>(address);
}

boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    boost::system::error_code error;
    co_await timer.async_wait(awaitableWithError(error));
}

}
