#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/connectionstatus.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class HttpClientConnection;

/// Pool of idle connections to backend servers. Used from one thread.
class ConnectionPool
{
public:
    /// Maximum number of idle connections per backend server, which accepts a limited number from all routers together.
    static constexpr std::size_t MaxIdlePerBackend = 4;
    /// Time after which an idle connection is closed if the server announces no keep-alive timeout. Shorter than the
    /// usual timeouts of servers.
    static constexpr Millis DefaultIdleTime{4000};
    /// An idle connection is closed this long before the server's timeout, so that the server does not close it while a
    /// request is on its way.
    static constexpr Millis IdleMargin{700};

    explicit ConnectionPool(boost::asio::any_io_executor executor);

    /// Removes an idle connection for @p key from the pool and returns it; nullptr if there is none.
    std::shared_ptr<HttpClientConnection> takeIdle(const std::string &key);
    /// Opens a new connection to @p address; nullptr if that fails.
    boost::asio::awaitable<std::shared_ptr<HttpClientConnection>> open(std::string address, Millis timeout);
    /// Opens a connection to @p address and closes it again.
    /// @return as HttpClientConnection::connect(). TimedOut does not show that the server is gone: the opening packet
    /// is dropped while the server's queue of new connections is full.
    boost::asio::awaitable<ConnectionStatus> probe(std::string address, Millis timeout);
    /// Adds a connection to the pool, or closes it if it is not reusable or there are enough idle ones for @p key.
    void release(const std::string &key, const std::shared_ptr<HttpClientConnection> &connection);
    /// Closes the idle connections for @p key.
    void closeIdle(const std::string &key);
    /// Closes the connections whose idle time is over.
    void expire(TimePoint now);

private:
    struct IdleConnection
    {
        std::shared_ptr<HttpClientConnection> connection;
        TimePoint until;
    };
    boost::asio::any_io_executor executor;
    std::map<std::string, std::deque<IdleConnection>> idle;
};

}
