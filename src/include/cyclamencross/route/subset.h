#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Divides routers and backend servers into groups, so that the routers of one group share the backend servers of the
/// same group and tell one another what they place there. Without groups the messages between routers would grow with
/// the square of their number. All routers with the same lists get the same division.
class Subset
{
public:
    /// Largest group: small enough that a host of a tenth of a core follows its peers, large enough that the load of
    /// the groups is even.
    static constexpr std::size_t MaxGroupSize = 24;
    /// Backend servers of one kind that each group must have at least; fewer are shared by all groups.
    static constexpr std::size_t MinBackendsPerGroup = 4;

    /// Returns the number of groups for a number of routers.
    static std::size_t groupCount(std::size_t routers);
    /// Divides @p names into @p groups of even size.
    /// @return the group of each name. A name that comes or goes moves few others.
    static std::map<std::string, std::size_t> divide(const std::vector<std::string> &names, std::size_t groups);
};

}
