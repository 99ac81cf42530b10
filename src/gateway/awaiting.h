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

/// Returns a completion token that makes an operation awaitable and stores its failure in @p error instead of throwing.
inline auto withError(boost::system::error_code &error)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

/// Parses an IPv4 address in the form "IP:PORT"; std::nullopt if the text has another form.
std::optional<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const std::string &address);
std::optional<boost::asio::ip::udp::endpoint> toUdpEndpoint(const std::string &address);
/// Suspends the calling coroutine for @p duration.
boost::asio::awaitable<void> sleepFor(std::chrono::milliseconds duration);

}
