#pragma once

#include "cyclamencross/route/apikeyhash.h"
#include "cyclamencross/route/callerlimits.h"
#include "cyclamencross/route/routeconfig.h"
#include "cyclamencross/route/serviceconfig.h"
#include "cyclamencross/route/workspaceconfig.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cyclamen
{

class RouteTableBuilder;

/// One version of the configuration: routes, services, workspaces and limits of callers. Immutable; built by
/// RouteTableBuilder.
class RouteTable
{
public:
    std::uint64_t version() const;
    const CallerLimits &limits() const;
    /// Returns the route of @p host with the longest path prefix that matches @p target, or nullptr if there is none.
    /// @param host value of the Host header, with or without a port.
    /// @param target request target, that is path and query; the query is ignored.
    const RouteConfig *match(std::string_view host, std::string_view target) const;
    /// Returns the service called @p name, or nullptr if there is none.
    const ServiceConfig *service(const std::string &name) const;
    std::size_t routeCount() const;
    /// Returns the priorities that requests to a service can have, by their routes and workspaces.
    const std::set<int> &priorities(const std::string &service) const;
    /// Returns whether requests to a service have an order of urgency: their priorities differ, or several workspaces
    /// use it.
    bool hasOrder(const std::string &service) const;
    /// Returns whether the configuration has workspaces, so that requests need an API key.
    bool hasWorkspaces() const;
    const std::vector<WorkspaceConfig> &workspaces() const;
    /// Returns the workspace that holds an API key, or nullptr if none does.
    const WorkspaceConfig *workspaceOfKey(const ApiKeyHash &key) const;

    bool operator==(const RouteTable &) const = default;

private:
    friend class RouteTableBuilder;
    std::uint64_t versionNumber = 0;
    CallerLimits callerLimits;
    /// Routes by host and path prefix.
    std::map<std::string, std::map<std::string, RouteConfig, std::less<>>, std::less<>> routes;
    std::map<std::string, ServiceConfig> services;
    std::map<std::string, std::set<int>> prioritiesByService;
    std::set<std::string> sharedServices; ///< Those that several workspaces use.
    std::vector<WorkspaceConfig> workspaceConfigs;
    /// Sorted by hash, with the index of the workspace.
    std::vector<std::pair<ApiKeyHash, std::uint32_t>> apiKeys;
};

}
