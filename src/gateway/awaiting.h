#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/error_code.hpp>

namespace Cyclamen
{

/// Makes an operation awaitable that reports its failure in @p error instead of throwing.
inline auto withError(boost::system::error_code &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

/// Converts "IP:PORT"; nothing if the text has another form.
std::optional<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const std::string &address);
std::optional<boost::asio::ip::udp::endpoint> toUdpEndpoint(const std::string &address);
/// Waits.
boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds duration);

}
