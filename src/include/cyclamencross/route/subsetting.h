#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Deterministic subsetting: divides routers and backend servers into groups. The routers of a group place their
/// requests on the backend servers of the same group and exchange reports about them. Without groups the number of
/// messages between routers would grow with the square of the number of routers. All routers with the same lists
/// compute the same groups.
class Subsetting
{
public:
    /// Largest number of routers in a group. Small enough that a router with a tenth of a CPU core can process the
    /// reports of its peers, large enough that the load is spread evenly over the groups.
    static constexpr std::size_t MaxGroupSize = 24;
    /// Smallest number of backend servers of one kind per group. If there are fewer, all groups share all of them.
    static constexpr std::size_t MinBackendsPerGroup = 4;

    /// Returns the number of groups for a fleet of @p routers; at least 1.
    static std::size_t groupCount(std::size_t routers);
    /// Assigns @p names to groups of even size.
    /// @param groups number of groups.
    /// @return the index of the group of each name. Adding or removing a name moves few others to another group.
    static std::map<std::string, std::size_t> assignGroups(const std::vector<std::string> &names, std::size_t groups);
};

}
