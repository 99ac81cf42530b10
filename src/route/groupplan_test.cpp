#include "cyclamencross/route/groupplan.h"

#include "cyclamencross/route/subsetting.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

std::vector<ZonedName> zoned(const std::string &prefix, const std::vector<int> &countByZone)
{
    std::vector<ZonedName> result;
    for (std::size_t zone = 0; zone < countByZone.size(); ++zone) {
        for (int i = 0; i < countByZone[zone]; ++i) {
            std::string name = prefix;
            name += std::to_string(zone) + "-" + std::to_string(i);
            result.push_back(ZonedName{name, "zone-" + std::to_string(zone)});
        }
    }
    return result;
}

// Describes the groups of each server by their labels, which don't change when other zones come or go.
std::map<std::string, std::string> labels(const GroupPlan &plan, const std::vector<ZonedName> &servers)
{
    std::map<std::string, std::string> result;
    for (const auto &[name, range] : plan.divide(servers)) {
        result[name] = plan.label(range.first) + "+" + std::to_string(range.count);
    }
    return result;
}

std::map<std::string, std::string> routerLabels(const GroupPlan &plan)
{
    std::map<std::string, std::string> result;
    for (const auto &[name, group] : plan.groups()) {
        result[name] = plan.label(group);
    }
    return result;
}

// Returns how many names that are in both maps have another value.
int moved(const std::map<std::string, std::string> &before, const std::map<std::string, std::string> &after)
{
    int count = 0;
    for (const auto &[name, label] : before) {
        const auto it = after.find(name);
        count += it != after.end() && it->second != label ? 1 : 0;
    }
    return count;
}

// Share of the pairs of a router and a server of its group that are in different zones.
double crossZoneShare(const GroupPlan &plan, const std::vector<ZonedName> &routers,
                      const std::vector<ZonedName> &servers)
{
    const auto divided = plan.divide(servers);
    int pairs = 0;
    int cross = 0;
    for (const ZonedName &router : routers) {
        for (const ZonedName &server : servers) {
            if (divided.at(server.name).contains(plan.groups().at(router.name))) {
                ++pairs;
                cross += router.zone != server.zone ? 1 : 0;
            }
        }
    }
    return double(cross) / pairs;
}

// Smallest and largest number of servers for each router over the groups, shared servers counted in parts.
std::pair<double, double> serversPerRouter(const GroupPlan &plan, const std::vector<ZonedName> &servers)
{
    std::vector<double> routerCount(plan.groupCount());
    for (const auto &[name, group] : plan.groups()) {
        ++routerCount[group];
    }
    std::vector<double> serverCount(plan.groupCount());
    for (const auto &[name, range] : plan.divide(servers)) {
        for (std::size_t group = range.first; group < range.first + range.count; ++group) {
            serverCount[group] += 1.0 / double(range.count);
        }
    }
    std::vector<double> ratios;
    for (std::size_t group = 0; group < routerCount.size(); ++group) {
        ratios.push_back(serverCount[group] / routerCount[group]);
    }
    const auto [smallest, largest] = std::minmax_element(ratios.begin(), ratios.end());
    return {*smallest, *largest};
}

const std::vector<int> GrownRouters{32, 30, 26, 26};
const std::vector<int> GrownPrefill{8, 8, 8, 8};
const std::vector<int> GrownDecode{15, 15, 14, 14};

}

TEST_CASE("114 routers in four zones form a group for each zone, which uses the engines of its zone")
{
    // Guards against reports and KV caches that mostly cross zones (114 routers: 0.7 GB in 48 s).
    const auto routers = zoned("r", GrownRouters);
    const GroupPlan plan(routers, true);
    CHECK(plan.isByZone());
    CHECK(plan.groupCount() == 4);
    for (const ZonedName &router : routers) {
        CHECK(plan.label(plan.groups().at(router.name)) == router.zone + "/0");
    }
    const GroupPlan byHash(routers, false);
    CHECK(byHash.groupCount() == 5);
    for (const auto &pool : {zoned("p", GrownPrefill), zoned("d", GrownDecode)}) {
        CHECK(crossZoneShare(byHash, routers, pool) > 0.7);
        CHECK(crossZoneShare(plan, routers, pool) == 0);
        const auto [least, most] = serversPerRouter(plan, pool);
        CHECK(most / least < 1.3);
    }
}

TEST_CASE("Plain services with a server in each zone are shared by all groups")
{
    const GroupPlan plan(zoned("r", GrownRouters), true);
    for (const auto &[name, range] : plan.divide(zoned("s", {1, 1, 1, 1}))) {
        CHECK(range == GroupRange{0, 4});
    }
}

TEST_CASE("Small fleets, fleets of one zone and fleets without zones keep their groups")
{
    // Guards against a change of small deployments, which have one group.
    const auto isUnchanged = [](const std::vector<ZonedName> &routers) {
        const GroupPlan plan(routers, true);
        std::vector<std::string> names;
        for (const ZonedName &router : routers) {
            names.push_back(router.name);
        }
        return !plan.isByZone() && plan.groupCount() == Subsetting::groupCount(names.size())
            && plan.groups() == Subsetting::assignGroups(names, Subsetting::groupCount(names.size()));
    };
    CHECK(isUnchanged(zoned("r", {5, 5, 5})));
    CHECK(isUnchanged(zoned("r", {12, 12})));
    CHECK(isUnchanged(zoned("r", {40})));
    CHECK(isUnchanged(zoned("r", {11, 11, 11})));
    auto withoutZones = zoned("r", GrownRouters);
    for (ZonedName &router : withoutZones) {
        router.zone.clear();
    }
    CHECK(isUnchanged(withoutZones));
    CHECK(GroupPlan().groupCount() == 1);
}

TEST_CASE("295 routers form groups of at most 32 within their zones; small pools are shared in the zone")
{
    // Guards against groups whose reports exceed a tenth of a core, and against a zone's engines that are cut into
    // pieces too small to level out load.
    const auto routers = zoned("r", {80, 75, 60, 50, 30});
    const GroupPlan plan(routers, true);
    CHECK(plan.groupCount() == 3 + 3 + 2 + 2 + 1);
    std::vector<int> sizes(plan.groupCount());
    for (const auto &[name, group] : plan.groups()) {
        ++sizes[group];
    }
    for (const int size : sizes) {
        CHECK(size >= 25);
        CHECK(size <= 32);
    }
    const auto prefill = zoned("p", {14, 11, 10, 10, 6});
    const auto ranges = plan.divide(prefill);
    CHECK(ranges.at("p0-0").count == 1);
    CHECK(ranges.at("p1-0") == GroupRange{3, 3});
    CHECK(crossZoneShare(plan, routers, prefill) == 0);
}

TEST_CASE("A router or an engine that comes or goes moves few others")
{
    // Guards against engines that change their groups by the dozen, whose work the new groups do not know.
    for (const auto &[routerCounts, engineCounts] :
         std::vector<std::pair<std::vector<int>, std::vector<int>>>{{GrownRouters, GrownDecode},
                                                                    {{80, 75, 60, 50, 30}, {40, 40, 30, 25, 15}},
                                                                    {{32, 30, 26, 26}, {25, 25, 8, 0}}}) {
        const auto routers = zoned("r", routerCounts);
        const auto engines = zoned("e", engineCounts);
        const GroupPlan plan(routers, true);
        for (std::size_t zone = 0; zone < routerCounts.size(); ++zone) {
            auto fewer = routers;
            const auto gone = std::find_if(fewer.begin(), fewer.end(), [zone](const ZonedName &router) {
                return router.zone == "zone-" + std::to_string(zone);
            });
            fewer.erase(gone);
            const GroupPlan after(fewer, true);
            CHECK(moved(routerLabels(plan), routerLabels(after)) <= 3);
            CHECK(moved(labels(plan, engines), labels(after, engines)) <= 6);
        }
        for (std::size_t i = 0; i < engines.size(); ++i) {
            auto fewer = engines;
            fewer.erase(fewer.begin() + std::ptrdiff_t(i));
            CHECK(moved(labels(plan, engines), labels(plan, fewer)) <= 6);
        }
    }
}

TEST_CASE("A zone that loses its engines borrows a fair share and leaves the rest where they are")
{
    // Guards against routers without engines in a zone whose engines have failed, and against a new division of all
    // engines at that moment.
    const auto routers = zoned("r", GrownRouters);
    const GroupPlan plan(routers, true);
    const auto before = zoned("d", GrownDecode);
    const auto after = zoned("d", {15, 15, 14, 0});
    CHECK(moved(labels(plan, before), labels(plan, after)) <= 8);
    const auto [least, most] = serversPerRouter(plan, after);
    CHECK(least > 0.25);
    CHECK(most / least < 1.6);
}

TEST_CASE("A zone that loses its routers one after the other does not change the groups of other zones")
{
    // Guards against a new division of all groups while a zone fails, and against engines that no group uses.
    const auto decode = zoned("d", GrownDecode);
    const auto base = routerLabels(GroupPlan(zoned("r", GrownRouters), true));
    for (int left = 26; left >= 0; --left) {
        const auto routers = zoned("r", {32, 30, 26, left});
        const GroupPlan plan(routers, true);
        CHECK(plan.groupCount() == (left >= int(GroupPlan::MinZoneRouters) ? 4 : 3));
        const auto now = routerLabels(plan);
        for (const ZonedName &router : routers) {
            CHECK((router.zone == "zone-3" || now.at(router.name) == base.at(router.name)));
        }
        const auto divided = plan.divide(decode);
        CHECK(divided.size() == decode.size());
        for (const auto &[name, range] : divided) {
            CHECK(range.first + range.count <= plan.groupCount());
        }
    }
}

TEST_CASE("Routers of small zones and routers without a zone form groups together")
{
    auto routers = zoned("r", {30, 30, 7, 7});
    routers.push_back(ZonedName{"old", ""});
    const GroupPlan plan(routers, true);
    CHECK(plan.groupCount() == 3);
    CHECK(plan.label(plan.groups().at("old")) == "/0");
    CHECK(plan.groups().at("r2-0") == plan.groups().at("old"));
    const auto engines = zoned("e", {10, 10, 3, 3});
    CHECK(plan.divide(engines).at("e2-0").contains(plan.groups().at("old")));
    std::reverse(routers.begin(), routers.end());
    CHECK(GroupPlan(routers, true).groups() == plan.groups());
}
