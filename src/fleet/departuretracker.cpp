#include "departuretracker.h"

#include <algorithm>

namespace Cyclamen
{

bool DepartureTracker::record(const BackendDeparture &departure, TimePoint now)
{
    if (departure.listVersion <= this->hostList.version || this->reported.size() >= MaxReports) {
        return false;
    }
    const auto [known, isNew] = this->reported.try_emplace(departure.address, departure.listVersion, now);
    if (!isNew && departure.listVersion > known->second.first) {
        known->second = std::pair(departure.listVersion, now);
        return true;
    }
    return isNew;
}

std::vector<BackendDeparture> DepartureTracker::updateHostList(const HostList &list, TimePoint now)
{
    if (list.version < this->hostList.version && now - this->hostListTime < UnconfirmedLifetime) {
        return {};
    }
    this->hostListTime = now;
    std::vector<BackendDeparture> departed;
    const auto isLive = [&list](const std::string &address) {
        const auto found = std::lower_bound(list.backends.begin(), list.backends.end(), address,
                                            [](const Backend &b, const std::string &a) { return b.address < a; });
        return found != list.backends.end() && found->address == address && found->state == BackendState::Live;
    };
    if (list.backends != this->hostList.backends) {
        for (const Backend &before : this->hostList.backends) {
            if (before.state == BackendState::Live && !isLive(before.address)) {
                departed.push_back(BackendDeparture{before.address, list.version});
            }
        }
    }
    this->hostList = list;
    std::erase_if(this->reported, [&list, now](const auto &item) {
        return item.second.first <= list.version || now - item.second.second >= UnconfirmedLifetime;
    });
    return departed;
}

std::vector<Backend> DepartureTracker::effectiveBackends() const
{
    std::vector<Backend> backends = this->hostList.backends;
    for (Backend &backend : backends) {
        if (this->reported.contains(backend.address)) {
            backend.state = BackendState::Leaving;
        }
    }
    return backends;
}

}
