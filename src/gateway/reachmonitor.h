#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class RouterState;
struct BackendServer;

/// Finds out by connections of its own whether this router is cut off from the backend servers of a service, and when
/// it is not any more. Requests alone would take long for that: each tries few servers, one after the other.
class ReachMonitor
{
public:
    /// Interval between the checks of a service that may be cut off, and shortest time between two checks of any
    /// service.
    static constexpr Millis CheckPeriod{250};
    /// Backend servers that are tried at the same time.
    static constexpr std::size_t ServersAtOnce = 3;
    /// Timeout of a connection; a round trip takes a few milliseconds.
    static constexpr Millis ConnectTimeout{150};

    /// @param state whose onUnreachable hook this object sets.
    explicit ReachMonitor(RouterState &state);

    /// Checks the services that may be cut off until the process ends.
    boost::asio::awaitable<void> run();

private:
    /// Begins to check a service, unless that was done within CheckPeriod. The backend server that was reached last is
    /// among those that are tried.
    void check(const std::string &service);
    boost::asio::awaitable<void> connect(BackendServer server);

    RouterState &state;
    std::map<std::string, TimePoint> lastChecks; ///< By service.
};

}
