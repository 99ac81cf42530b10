#pragma once

#include "backenddeparture.h"
#include "hostlist.h"

#include "cyclamencross/base/timing.h"

#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Combines this entry's host list with reports from peers that have seen a newer list in which backend servers leave.
/// Not thread-safe; the current time is passed in.
class DepartureTracker
{
public:
    /// Time after which a report expires unless this entry's host list has confirmed it. After the same time without an
    /// update, a host list with a lower version is accepted again, since the platform may have restarted its version
    /// numbering.
    static constexpr Millis UnconfirmedLifetime{30000};
    /// Limit on unconfirmed reports; further ones are ignored.
    static constexpr std::size_t MaxReports = 1024;

    /// Records a report from a peer.
    /// @return whether it was new.
    bool record(const BackendDeparture &departure, TimePoint now);
    /// Replaces this entry's host list and drops the reports that @p list covers. Ignores an older list until
    /// UnconfirmedLifetime after the last update.
    /// @return departures to report to peers: backend servers that were live in the previous list but not in this one.
    std::vector<BackendDeparture> updateHostList(const HostList &list, TimePoint now);
    /// Returns the backend servers of this entry's host list. Those that peers reported are marked as leaving.
    std::vector<Backend> effectiveBackends() const;

private:
    HostList hostList;
    TimePoint hostListTime;
    /// Host list version and time of receipt of each unconfirmed report, by address.
    std::map<std::string, std::pair<std::uint64_t, TimePoint>> reported;
};

}
