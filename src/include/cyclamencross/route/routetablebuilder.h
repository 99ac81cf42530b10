#pragma once

#include "cyclamencross/route/routetable.h"

namespace Cyclamen
{

/// Builds a RouteTable.
class RouteTableBuilder
{
public:
    RouteTableBuilder &version(std::uint64_t number);
    RouteTableBuilder &limits(const CallerLimits &limits);
    RouteTableBuilder &add(RouteRule route);
    RouteTableBuilder &add(ServiceRule service);
    RouteTable build() const;

private:
    RouteTable table;
};

}
