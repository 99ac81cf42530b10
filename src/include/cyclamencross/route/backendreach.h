#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Cyclamen
{

struct BackendServer;

/// Finds out whether this router is cut off from all backend servers of a service. That is a fact about the paths of
/// this router and says nothing about the health of the servers, which its peers may reach.
///
/// Failures of several servers show no partition while the server that was reached last has not failed since: half of
/// the servers of a service may be gone at once.
class BackendReach
{
public:
    /// Number of different backend servers in a row that accept no connection from which on a router may be cut off;
    /// all, if a service has fewer. A few servers may be gone at the same time.
    static constexpr std::size_t MinUnreachable = 3;
    /// Services with fewer backend servers are never taken for cut off: the server itself may be gone.
    static constexpr std::size_t MinServers = 2;
    /// Time after which failures are forgotten if no further one confirms them.
    static constexpr Millis Memory{2000};

    /// Records that a backend server of @p service has accepted a connection.
    void recordReached(const std::string &service, const std::string &backend);
    /// Records that a backend server of @p service has not accepted a connection.
    void recordUnreachable(const std::string &service, const std::string &backend, TimePoint now);
    /// Returns whether no backend server of @p service accepts connections from this router.
    /// @param servers all backend servers of the service.
    bool isCutOff(const std::string &service, const std::vector<BackendServer> &servers, TimePoint now) const;
    /// Returns whether so many backend servers in a row have failed that the one that was reached last has to be tried.
    /// @param servers number of backend servers of the service.
    bool mayBeCutOff(const std::string &service, std::size_t servers, TimePoint now) const;
    /// Returns the backend server of @p service that has accepted a connection last; empty if none has.
    std::string lastReached(const std::string &service) const;
    /// Returns how many backend servers in a row have accepted no connection.
    std::size_t unreachable(const std::string &service, TimePoint now) const;
    /// Returns the services with a failure that counts.
    std::vector<std::string> services(TimePoint now) const;

private:
    /// Failures since a backend server has last accepted a connection.
    struct Failures
    {
        std::set<std::string> backends;
        TimePoint last;
    };
    std::map<std::string, Failures> failures; ///< By service.
    std::map<std::string, std::string> reached; ///< The backend server that was reached last, by service.
};

}
