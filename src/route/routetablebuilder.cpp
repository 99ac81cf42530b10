#include "cyclamencross/route/routetablebuilder.h"

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

RouteTableBuilder &RouteTableBuilder::add(RouteRule route)
{
    auto &byPrefix = this->table.routes[route.host];
    std::string prefix = route.pathPrefix;
    byPrefix.insert_or_assign(std::move(prefix), std::move(route));
    return *this;
}

RouteTableBuilder &RouteTableBuilder::add(ServiceRule service)
{
    std::string name = service.name;
    this->table.services.insert_or_assign(std::move(name), std::move(service));
    return *this;
}

RouteTable RouteTableBuilder::build() const
{
    return this->table;
}

}
