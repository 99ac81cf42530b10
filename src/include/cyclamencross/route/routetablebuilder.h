#pragma once

#include "cyclamencross/route/routetable.h"

namespace Cyclamen
{

/// Builds a RouteTable step by step.
class RouteTableBuilder
{
public:
    RouteTableBuilder &version(std::uint64_t number);
    RouteTableBuilder &limits(const CallerLimits &limits);
    /// Adds a route; replaces one with the same host and path prefix.
    RouteTableBuilder &add(RouteConfig route);
    /// Adds a service; replaces one with the same name.
    RouteTableBuilder &add(ServiceConfig service);
    /// Adds a workspace and the hashes of its API keys. A key that several workspaces hold belongs to the first one.
    RouteTableBuilder &add(WorkspaceConfig workspace, const std::vector<ApiKeyHash> &apiKeys);
    /// Returns the table built so far.
    RouteTable build() const;

private:
    /// Sets what RouteTable::priorities() and RouteTable::hasOrder() return.
    static void collectPriorities(RouteTable &table);
    RouteTable table;
};

}
