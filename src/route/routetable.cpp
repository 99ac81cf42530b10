#include "cyclamencross/route/routetable.h"

#include <algorithm>
#include <cctype>

namespace Cyclamen
{

namespace
{

// Returns the host without its port, in lower case.
std::string normalizeHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return char(std::tolower(c)); });
    return name;
}

}

std::uint64_t RouteTable::version() const
{
    return this->versionNumber;
}

const CallerLimits &RouteTable::limits() const
{
    return this->callerLimits;
}

const RouteConfig *RouteTable::match(std::string_view host, std::string_view target) const
{
    const auto byPrefix = this->routes.find(normalizeHost(host));
    if (byPrefix == this->routes.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find('?'));
    // All prefixes end with '/', so only the parts of the path up to a '/' can match. The longest is tried first.
    while (!path.empty()) {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto route = byPrefix->second.find(path.substr(0, slash + 1));
        if (route != byPrefix->second.end()) {
            return &route->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const ServiceConfig *RouteTable::service(const std::string &name) const
{
    const auto it = this->services.find(name);
    return it == this->services.end() ? nullptr : &it->second;
}

std::size_t RouteTable::routeCount() const
{
    std::size_t count = 0;
    for (const auto &[host, byPrefix] : this->routes) {
        count += byPrefix.size();
    }
    return count;
}

const std::set<int> &RouteTable::priorities(const std::string &service) const
{
    static const std::set<int> None;
    const auto it = this->prioritiesByService.find(service);
    return it == this->prioritiesByService.end() ? None : it->second;
}

bool RouteTable::hasOrder(const std::string &service) const
{
    return this->priorities(service).size() > 1 || this->sharedServices.contains(service);
}

bool RouteTable::hasWorkspaces() const
{
    return !this->workspaceConfigs.empty();
}

const std::vector<WorkspaceConfig> &RouteTable::workspaces() const
{
    return this->workspaceConfigs;
}

const WorkspaceConfig *RouteTable::workspaceOfKey(const ApiKeyHash &key) const
{
    const auto it = std::lower_bound(this->apiKeys.begin(), this->apiKeys.end(), key,
                                     [](const auto &entry, const ApiKeyHash &hash) { return entry.first < hash; });
    return it == this->apiKeys.end() || it->first != key ? nullptr : &this->workspaceConfigs[it->second];
}

}
