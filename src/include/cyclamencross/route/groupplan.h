#pragma once

#include "cyclamencross/route/grouprange.h"
#include "cyclamencross/route/zonedname.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Divides routers into groups and backend servers among these groups, by availability zone where the zones have enough
/// routers, otherwise by the hash of the names alone (see Subsetting). Groups of a zone exchange their reports and
/// place their requests without traffic between zones. The plan depends on nothing but the lists, so that all routers
/// with the same lists compute the same one. Immutable.
class GroupPlan
{
public:
    /// Largest number of routers in a group of one zone. Larger than Subsetting::MaxGroupSize, because one group that
    /// knows all work on the engines of its zone uses them better than two groups with half of them each; the reports
    /// of 31 peers take a third more time than those of 23.
    static constexpr std::size_t MaxZoneGroupSize = 32;
    /// Number of routers from which a zone has groups of its own. Each group has three watchers of the store, so groups
    /// of half of Subsetting::MaxGroupSize at most double the calls of watchers.
    static constexpr std::size_t MinZoneRouters = 12;
    /// Share of the backend servers that is due to a region by its number of routers and that it gets in any case: if
    /// it has fewer, it borrows some of other regions. Below 1, so that small differences move no server.
    static constexpr double MinServerShare = 0.75;

    /// One group with all routers.
    GroupPlan();
    /// @param routers names and zones of all routers, in any order.
    /// @param byZone whether groups may follow the zones.
    GroupPlan(std::vector<ZonedName> routers, bool byZone);

    /// Returns whether the groups follow the zones.
    bool isByZone() const;
    /// Returns the number of groups; at least 1.
    std::size_t groupCount() const;
    /// Returns the index of the group of each router.
    const std::map<std::string, std::size_t> &groups() const;
    /// Returns the groups that are in the same region as @p group: in the same zone, or among the groups of the routers
    /// without a zone of their own. All groups if they don't follow the zones.
    GroupRange regionOf(std::size_t group) const;
    /// Returns a name for @p group that stays the same while other zones come and go: "ZONE/NUMBER".
    std::string label(std::size_t group) const;
    /// Returns the groups that use each of the backend servers of one service and stage. If there are too few for all
    /// groups, or in a region for its groups, those groups share them. Adding or removing a server or a router changes
    /// the groups of few others.
    std::map<std::string, GroupRange> divide(const std::vector<ZonedName> &servers) const;

private:
    /// Routers that are divided into groups together.
    struct Region
    {
        std::string label;
        std::size_t routers = 0;
        GroupRange groups;
    };

    std::vector<Region> regions;
    std::map<std::string, std::size_t> regionOfZone; ///< Index into `regions`.
    std::map<std::string, std::size_t> groupOfRouter;

    /// Adds a region with groups of at most @p maxSize routers.
    void addRegion(const std::string &label, const std::vector<std::string> &routers, std::size_t maxSize);
    /// Returns the region whose servers include one of @p server's zone, or an even choice for other zones.
    std::size_t homeRegion(const ZonedName &server) const;
    /// Moves servers to the regions that have too few for their number of routers.
    /// @param byRegion servers of each region in the order of their hashes.
    void borrow(std::vector<std::vector<std::string>> &byRegion, std::size_t serverCount) const;
};

}
