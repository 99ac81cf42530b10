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
    RouteTableBuilder &add(RouteRule route);
    /// Adds a service; replaces one with the same name.
    RouteTableBuilder &add(ServiceRule service);
    /// Returns the table built so far.
    RouteTable build() const;

private:
    RouteTable table;
};

}
