#pragma once

#include <array>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

namespace Cyclamen
{

class RouterState;

/// Exchanges reports with the other routers by datagrams.
class PeerPort
{
public:
    /// Pause between two reports: short against the duration of a request, long against the cost of a datagram.
    static constexpr std::chrono::milliseconds ReportPause{100};

    explicit PeerPort(RouterState &state);

    /// Binds the socket.
    /// @return whether that succeeded.
    bool open();
    /// Receives reports for as long as the process runs.
    boost::asio::awaitable<void> receive();
    /// Sends reports for as long as the process runs.
    boost::asio::awaitable<void> send();

private:
    static constexpr std::size_t MaxDatagramBytes = 65000;

    RouterState &state;
    boost::asio::ip::udp::socket socket;
};

}
