#pragma once

#include "backendnews.h"
#include "hostlist.h"

#include "cyclamencross/base/timing.h"

#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Backend servers that peers saw leaving in a newer host list than the own one. Not thread-safe; time is passed in.
class Departures
{
public:
    /// News that the own list has not confirmed by then does not count any more, and an older list counts again: the
    /// platform may have begun to count its versions anew.
    static constexpr Millis UnconfirmedLifetime{30000};
    static constexpr std::size_t MaxNews = 1024;

    /// Notes news from a peer. @return whether it was new.
    bool hear(const BackendNews &news, TimePoint now);
    /// Takes the own list, unless it is older than the last one, and forgets the news that it covers.
    /// @return news for peers: what was live in the list before and is not live in this one.
    std::vector<BackendNews> takeList(const HostList &list, TimePoint now);
    /// Returns the backend servers of the own list, with those as leaving that peers saw leaving.
    std::vector<Backend> apply() const;

private:
    HostList own;
    TimePoint taken;
    std::map<std::string, std::pair<std::uint64_t, TimePoint>> news; ///< List version and time heard, by address.
};

}
