#pragma once

#include <array>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

namespace Cyclamen
{

class EncodedReport;
class RouterState;
struct RouterMember;

/// UDP socket that exchanges reports with the other routers.
class PeerSocket
{
public:
    /// Interval between reports: short relative to the duration of a request, long relative to the cost of a datagram.
    static constexpr std::chrono::milliseconds ReportPause{100};

    explicit PeerSocket(RouterState &state);

    /// Binds the socket to the peer address of the settings and logs a failure.
    /// @return whether the socket is open.
    bool open();
    /// Receives reports until the process ends.
    boost::asio::awaitable<void> receive();
    /// Sends reports until the process ends: to the routers of the group, and news about crashes to all routers.
    boost::asio::awaitable<void> send();

private:
    /// Sends a report to each of @p routers except this one, in the newest format that the router reads.
    void sendTo(const std::vector<RouterMember> &routers, EncodedReport &report);

    static constexpr std::size_t MaxDatagramBytes = 65000;

    RouterState &state;
    boost::asio::ip::udp::socket socket;
};

}
