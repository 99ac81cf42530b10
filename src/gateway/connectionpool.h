#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class HttpLink;

/// Open connections to backend servers that wait for their next exchange. Used from one thread.
class LinkPool
{
public:
    /// Bounds the idle connections, of which a backend server accepts a limited number from all routers together.
    static constexpr std::size_t MaxIdlePerBackend = 4;
    /// Idle time after which a connection is closed if the server tells none: below usual server time-outs.
    static constexpr Millis DefaultIdleTime{4000};
    /// A connection is given up this long before the server would close it, which covers a request on its way.
    static constexpr Millis IdleMargin{700};

    explicit LinkPool(boost::asio::any_io_executor executor);

    /// Returns an idle connection to @p key, or nullptr.
    std::shared_ptr<HttpLink> takeIdle(const std::string &key);
    /// Opens a connection; nullptr if that fails.
    boost::asio::awaitable<std::shared_ptr<HttpLink>> open(std::string address, Millis timeout);
    /// Keeps a connection for the next exchange, or closes it if it can't be used again.
    void giveBack(const std::string &key, const std::shared_ptr<HttpLink> &link);
    /// Closes the connections that were idle too long.
    void expire(TimePoint now);

private:
    struct IdleLink
    {
        std::shared_ptr<HttpLink> link;
        TimePoint until;
    };
    boost::asio::any_io_executor executor;
    std::map<std::string, std::deque<IdleLink>> idle;
};

}
