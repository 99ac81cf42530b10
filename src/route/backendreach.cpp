#include "cyclamencross/route/backendreach.h"

#include "cyclamencross/route/backendserver.h"

#include <algorithm>

namespace Cyclamen
{

void BackendReach::recordReached(const std::string &service, const std::string &backend)
{
    this->failures.erase(service);
    this->reached[service] = backend;
}

void BackendReach::recordUnreachable(const std::string &service, const std::string &backend, TimePoint now)
{
    Failures &known = this->failures[service];
    if (now - known.last > Memory) {
        known.backends.clear();
    }
    known.backends.insert(backend);
    known.last = now;
}

bool BackendReach::isCutOff(const std::string &service, const std::vector<BackendServer> &servers, TimePoint now) const
{
    if (!this->mayBeCutOff(service, servers.size(), now)) {
        return false;
    }
    const std::string last = this->lastReached(service);
    // A server that has gone since is not tried any more and says nothing.
    return this->failures.at(service).backends.contains(last)
        || std::none_of(servers.begin(), servers.end(),
                        [&last](const BackendServer &server) { return server.id == last; });
}

bool BackendReach::mayBeCutOff(const std::string &service, std::size_t servers, TimePoint now) const
{
    return servers >= MinServers && this->unreachable(service, now) >= std::min(MinUnreachable, servers);
}

std::string BackendReach::lastReached(const std::string &service) const
{
    const auto it = this->reached.find(service);
    return it == this->reached.end() ? "" : it->second;
}

std::size_t BackendReach::unreachable(const std::string &service, TimePoint now) const
{
    const auto it = this->failures.find(service);
    return it == this->failures.end() || now - it->second.last > Memory ? 0 : it->second.backends.size();
}

std::vector<std::string> BackendReach::services(TimePoint now) const
{
    std::vector<std::string> result;
    for (const auto &[service, known] : this->failures) {
        if (now - known.last <= Memory) {
            result.push_back(service);
        }
    }
    return result;
}

}
