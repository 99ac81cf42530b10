#include "departures.h"

#include <algorithm>

namespace Cyclamen
{

bool Departures::hear(const BackendNews &heard, TimePoint now)
{
    if (heard.listVersion <= this->own.version || this->news.size() >= MaxNews) {
        return false;
    }
    const auto [known, isNew] = this->news.try_emplace(heard.address, heard.listVersion, now);
    if (!isNew && heard.listVersion > known->second.first) {
        known->second = std::pair(heard.listVersion, now);
        return true;
    }
    return isNew;
}

std::vector<BackendNews> Departures::takeList(const HostList &list, TimePoint now)
{
    if (list.version < this->own.version && now - this->taken < UnconfirmedLifetime) {
        return {};
    }
    this->taken = now;
    std::vector<BackendNews> departed;
    const auto isLive = [&list](const std::string &address) {
        const auto found = std::lower_bound(list.backends.begin(), list.backends.end(), address,
                                            [](const Backend &b, const std::string &a) { return b.address < a; });
        return found != list.backends.end() && found->address == address && found->state == BackendState::Live;
    };
    if (list.backends != this->own.backends) {
        for (const Backend &before : this->own.backends) {
            if (before.state == BackendState::Live && !isLive(before.address)) {
                departed.push_back(BackendNews{before.address, list.version});
            }
        }
    }
    this->own = list;
    std::erase_if(this->news, [&list, now](const auto &item) {
        return item.second.first <= list.version || now - item.second.second >= UnconfirmedLifetime;
    });
    return departed;
}

std::vector<Backend> Departures::apply() const
{
    std::vector<Backend> backends = this->own.backends;
    for (Backend &backend : backends) {
        if (this->news.contains(backend.address)) {
            backend.state = BackendState::Leaving;
        }
    }
    return backends;
}

}
