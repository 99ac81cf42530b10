#include "cyclamencross/route/groupplan.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/route/subsetting.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace Cyclamen
{

namespace
{

// Label of the region without a zone. No zone has this name in a settings file, where names are not empty.
const std::string NoZone;

std::size_t ceilOfQuotient(std::size_t number, std::size_t divisor)
{
    return (number + divisor - 1) / divisor;
}

// Returns the index of the label with the highest hash together with the name (rendezvous hashing): a label that comes
// or goes moves only the names that it gets or had.
std::size_t rendezvous(const std::string &name, const std::vector<std::string> &labels)
{
    std::pair<std::uint64_t, std::size_t> best(0, 0);
    for (std::size_t i = 0; i < labels.size(); ++i) {
        best = std::max(best, std::pair(hash64(name + "\n" + labels[i]), i));
    }
    return best.second;
}

}

GroupPlan::GroupPlan()
    : GroupPlan({}, false)
{
}

GroupPlan::GroupPlan(std::vector<ZonedName> routers, bool byZone)
{
    std::sort(routers.begin(), routers.end(),
              [](const ZonedName &left, const ZonedName &right) { return left.name < right.name; });
    std::map<std::string, std::vector<std::string>> byZoneName;
    std::vector<std::string> all;
    for (const ZonedName &router : routers) {
        byZoneName[router.zone].push_back(router.name);
        all.push_back(router.name);
    }
    std::vector<std::string> scattered; // Of zones without groups of their own.
    std::vector<std::string> zones;
    for (const auto &[zone, names] : byZoneName) {
        if (zone.empty() || names.size() < MinZoneRouters) {
            scattered.insert(scattered.end(), names.begin(), names.end());
        } else {
            zones.push_back(zone);
        }
    }
    if (!byZone || all.size() <= Subsetting::MaxGroupSize || zones.size() < 2) {
        this->addRegion(NoZone, all, Subsetting::MaxGroupSize);
        return;
    }
    for (const std::string &zone : zones) {
        this->regionOfZone[zone] = this->regions.size();
        this->addRegion(zone, byZoneName[zone], MaxZoneGroupSize);
    }
    if (scattered.size() >= MinZoneRouters) {
        for (const auto &[zone, names] : byZoneName) {
            this->regionOfZone.try_emplace(zone, this->regions.size());
        }
        this->addRegion(NoZone, scattered, Subsetting::MaxGroupSize);
        return;
    }
    // Too few for a group. They join the others without counting for the number of groups, so that the last routers of
    // a zone that fails don't divide the group of another zone.
    std::vector<std::string> labels;
    for (std::size_t group = 0; group < this->groupCount(); ++group) {
        labels.push_back(this->label(group));
    }
    for (const std::string &name : scattered) {
        this->groupOfRouter[name] = rendezvous(name, labels);
    }
}

void GroupPlan::addRegion(const std::string &label, const std::vector<std::string> &routers, std::size_t maxSize)
{
    const std::size_t count = std::max<std::size_t>(1, ceilOfQuotient(routers.size(), maxSize));
    const std::size_t first = this->regions.empty() ? 0 : this->groupCount();
    for (const auto &[name, group] : Subsetting::assignGroups(routers, count)) {
        this->groupOfRouter[name] = first + group;
    }
    this->regions.push_back(Region{label, routers.size(), GroupRange{first, count}});
}

bool GroupPlan::isByZone() const
{
    return this->regions.size() > 1;
}

std::size_t GroupPlan::groupCount() const
{
    return this->regions.back().groups.first + this->regions.back().groups.count;
}

const std::map<std::string, std::size_t> &GroupPlan::groups() const
{
    return this->groupOfRouter;
}

GroupRange GroupPlan::regionOf(std::size_t group) const
{
    const auto region = std::find_if(this->regions.begin(), this->regions.end(),
                                     [group](const Region &candidate) { return candidate.groups.contains(group); });
    return region == this->regions.end() ? GroupRange{0, this->groupCount()} : region->groups;
}

std::string GroupPlan::label(std::size_t group) const
{
    for (const Region &region : this->regions) {
        if (region.groups.contains(group)) {
            return region.label + "/" + std::to_string(group - region.groups.first);
        }
    }
    return {};
}

std::size_t GroupPlan::homeRegion(const ZonedName &server) const
{
    if (const auto region = this->regionOfZone.find(server.zone); region != this->regionOfZone.end()) {
        return region->second;
    }
    std::vector<std::string> labels;
    for (const Region &region : this->regions) {
        labels.push_back(region.label);
    }
    return rendezvous(server.name, labels);
}

std::map<std::string, GroupRange> GroupPlan::divide(const std::vector<ZonedName> &servers) const
{
    std::map<std::string, GroupRange> result;
    if (servers.size() < this->groupCount() * Subsetting::MinBackendsPerGroup) {
        for (const ZonedName &server : servers) {
            result[server.name] = GroupRange{0, this->groupCount()};
        }
        return result;
    }
    std::vector<std::pair<std::uint64_t, const ZonedName *>> byHash;
    byHash.reserve(servers.size());
    for (const ZonedName &server : servers) {
        byHash.emplace_back(hash64(server.name), &server);
    }
    std::sort(byHash.begin(), byHash.end(), [](const auto &left, const auto &right) {
        return std::pair(left.first, left.second->name) < std::pair(right.first, right.second->name);
    });
    std::vector<std::vector<std::string>> byRegion(this->regions.size());
    for (const auto &[hash, server] : byHash) {
        byRegion[this->homeRegion(*server)].push_back(server->name);
    }
    this->borrow(byRegion, servers.size());
    for (std::size_t i = 0; i < this->regions.size(); ++i) {
        const GroupRange &groups = this->regions[i].groups;
        if (byRegion[i].size() < groups.count * Subsetting::MinBackendsPerGroup) {
            for (const std::string &name : byRegion[i]) {
                result[name] = groups;
            }
            continue;
        }
        for (const auto &[name, group] : Subsetting::assignGroups(byRegion[i], groups.count)) {
            result[name] = GroupRange{groups.first + group, 1};
        }
    }
    return result;
}

void GroupPlan::borrow(std::vector<std::vector<std::string>> &byRegion, std::size_t serverCount) const
{
    std::size_t routers = 0;
    for (const Region &region : this->regions) {
        routers += region.routers;
    }
    const auto due = [&](std::size_t region) {
        return double(serverCount) * double(this->regions[region].routers) / double(routers);
    };
    std::vector<std::vector<std::string>> borrowed(byRegion.size());
    for (std::size_t region = 0; region < byRegion.size(); ++region) {
        const auto needed = std::size_t(std::ceil(due(region) * MinServerShare));
        while (byRegion[region].size() + borrowed[region].size() < needed) {
            // The donor is the region that has most for its routers. It gives its servers with the highest hashes, so
            // that one server more or less changes few of those that are lent.
            std::size_t donor = region;
            for (std::size_t other = 0; other < byRegion.size(); ++other) {
                const auto ratio = [&](std::size_t index) { return double(byRegion[index].size()) / due(index); };
                if (other != region && (donor == region || ratio(other) > ratio(donor))) {
                    donor = other;
                }
            }
            if (donor == region || double(byRegion[donor].size()) <= due(donor) * MinServerShare) {
                break;
            }
            borrowed[region].push_back(std::move(byRegion[donor].back()));
            byRegion[donor].pop_back();
        }
    }
    for (std::size_t region = 0; region < byRegion.size(); ++region) {
        byRegion[region].insert(byRegion[region].end(), borrowed[region].begin(), borrowed[region].end());
    }
}

}
