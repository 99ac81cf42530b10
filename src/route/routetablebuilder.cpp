#include "cyclamencross/route/routetablebuilder.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

RouteTableBuilder &RouteTableBuilder::version(std::uint64_t number)
{
    this->table.versionNumber = number;
    return *this;
}

RouteTableBuilder &RouteTableBuilder::limits(const CallerLimits &limits)
{
    this->table.callerLimits = limits;
    return *this;
}

RouteTableBuilder &RouteTableBuilder::add(RouteConfig route)
{
    auto &byPrefix = this->table.routes[route.host];
    std::string prefix = route.pathPrefix;
    byPrefix.insert_or_assign(std::move(prefix), std::move(route));
    return *this;
}

RouteTableBuilder &RouteTableBuilder::add(ServiceConfig service)
{
    std::string name = service.name;
    this->table.services.insert_or_assign(std::move(name), std::move(service));
    return *this;
}

RouteTableBuilder &RouteTableBuilder::add(WorkspaceConfig workspace, const std::vector<ApiKeyHash> &apiKeys)
{
    const auto index = std::uint32_t(this->table.workspaceConfigs.size());
    this->table.workspaceConfigs.push_back(std::move(workspace));
    for (const ApiKeyHash &key : apiKeys) {
        this->table.apiKeys.emplace_back(key, index);
    }
    return *this;
}

void RouteTableBuilder::collectPriorities(RouteTable &table)
{
    std::set<int> ofWorkspaces;
    bool routesDecide = table.workspaceConfigs.empty();
    for (const WorkspaceConfig &workspace : table.workspaceConfigs) {
        if (workspace.priority) {
            ofWorkspaces.insert(*workspace.priority);
        } else {
            routesDecide = true;
        }
    }
    for (const auto &[host, byPrefix] : table.routes) {
        for (const auto &[prefix, route] : byPrefix) {
            for (const WeightedService &service : route.services) {
                std::set<int> &priorities = table.prioritiesByService[service.service];
                if (routesDecide || route.isPublic) {
                    priorities.insert(route.priority);
                }
                if (!route.isPublic) {
                    priorities.insert(ofWorkspaces.begin(), ofWorkspaces.end());
                }
                if (!route.isPublic && table.workspaceConfigs.size() > 1) {
                    table.sharedServices.insert(service.service);
                }
            }
        }
    }
}

RouteTable RouteTableBuilder::build() const
{
    RouteTable sorted = this->table;
    std::sort(sorted.apiKeys.begin(), sorted.apiKeys.end());
    const auto isSameKey = [](const auto &a, const auto &b) { return a.first == b.first; };
    sorted.apiKeys.erase(std::unique(sorted.apiKeys.begin(), sorted.apiKeys.end(), isSameKey), sorted.apiKeys.end());
    collectPriorities(sorted);
    return sorted;
}

}
