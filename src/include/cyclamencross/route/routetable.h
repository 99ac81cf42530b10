#pragma once

#include "cyclamencross/route/callerlimits.h"
#include "cyclamencross/route/routerule.h"
#include "cyclamencross/route/servicerule.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

class RouteTableBuilder;

/// One version of the configuration: routes, services and limits of callers. Immutable; built by RouteTableBuilder.
class RouteTable
{
public:
    std::uint64_t version() const;
    const CallerLimits &limits() const;
    /// Returns the route of @p host with the longest path prefix that matches @p target, or nullptr if there is none.
    /// @param host value of the Host header, with or without a port.
    /// @param target request target, that is path and query; the query is ignored.
    const RouteRule *match(std::string_view host, std::string_view target) const;
    /// Returns the service called @p name, or nullptr if there is none.
    const ServiceRule *service(const std::string &name) const;
    std::size_t routeCount() const;

    bool operator==(const RouteTable &) const = default;

private:
    friend class RouteTableBuilder;
    std::uint64_t versionNumber = 0;
    CallerLimits callerLimits;
    /// Routes by host and path prefix.
    std::map<std::string, std::map<std::string, RouteRule, std::less<>>, std::less<>> routes;
    std::map<std::string, ServiceRule> services;
};

}
