// The part of RouterState that divides routers and backend servers into groups.

#include "routerstate.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/route/stageloads.h"
#include "cyclamencross/route/subsetting.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// Name under which OverflowPacer counts the engines of a service that are equally far.
std::string overflowPool(const std::string &service, bool ofOwnZone)
{
    return service + (ofOwnZone ? "/own-zone" : "/other-zones");
}

}

void RouterState::regroup()
{
    this->regroupPending = false;
    this->groupRouters();
    const std::set<std::size_t> sharingGroups = this->divideBackends();
    this->registeredVersions.clear();
    this->servingVersions.clear();
    this->backends.forEach([this](const std::string & /*id*/, const BackendServer &server) {
        this->registeredVersions[server.service].insert(server.version);
        if (!server.draining) {
            this->servingVersions[server.service].insert(server.version);
        }
    });
    // The delegate of each group is the router with the lowest hash.
    std::map<std::size_t, std::pair<std::uint64_t, std::string>> lowestByGroup;
    for (const auto &[name, group] : this->groupPlan.groups()) {
        const std::pair<std::uint64_t, std::string> entry(hash64(name), name);
        const auto [it, isFirst] = lowestByGroup.try_emplace(group, entry);
        it->second = std::min(it->second, entry);
    }
    this->delegates.clear();
    this->sharingDelegates.clear();
    for (const auto &[group, entry] : lowestByGroup) {
        const RouterMember *member = this->members.find(entry.second);
        if (group == this->ownGroup || member == nullptr) {
            continue;
        }
        this->delegates.push_back(*member);
        if (sharingGroups.contains(group)) {
            this->sharingDelegates.push_back(*member);
        }
    }
    this->quotas.setRouters(1 + this->peersOfGroup.size() + this->routersOfOtherGroups.size(),
                            this->groupPlan.groupCount());
    this->routerHashes.clear();
    this->groupHashes.clear();
    this->regionHashes.clear();
    const GroupRange region = this->groupPlan.regionOf(this->ownGroup);
    for (const auto &[name, group] : this->groupPlan.groups()) {
        this->routerHashes.push_back(hash64(name));
        if (group == this->ownGroup) {
            this->groupHashes.push_back(hash64(name));
        }
        if (region.contains(group)) {
            this->regionHashes.push_back(hash64(name));
        }
    }
    std::erase_if(this->reportedCalls, [this](const auto &item) { return !this->sharedBackends.contains(item.first); });
    this->reportGroup();
}

void RouterState::groupRouters()
{
    std::vector<ZonedName> routers;
    this->members.forEach([&routers](const std::string &name, const RouterMember &member) {
        routers.push_back(ZonedName{name, member.zone});
    });
    this->groupPlan = GroupPlan(std::move(routers), this->settings.groupsByZone);
    const auto &groups = this->groupPlan.groups();
    const auto own = groups.find(this->settings.name);
    this->ownGroup = own == groups.end() ? 0 : own->second;
    for (const RouterMember &peer : this->peersOfGroup) {
        if (this->members.find(peer.name) == nullptr) {
            this->lapsed[peer.name] = {peer, this->environment.now() + LapsedPeerLifetime};
        }
    }
    this->peersOfGroup.clear();
    this->routersOfOtherGroups.clear();
    this->members.forEach([&](const std::string &name, const RouterMember &member) {
        if (name != this->settings.name) {
            (groups.at(name) == this->ownGroup ? this->peersOfGroup : this->routersOfOtherGroups).push_back(member);
        }
    });
    const std::uint64_t ownHash = hash64(this->settings.name);
    const auto lowerRanked = std::count_if(this->peersOfGroup.begin(), this->peersOfGroup.end(),
                                           [ownHash](const RouterMember &peer) { return hash64(peer.name) < ownHash; });
    this->rankInGroup = std::size_t(lowerRanked);
}

std::set<std::size_t> RouterState::divideBackends()
{
    this->pools.clear();
    this->sharedBackends.clear();
    this->foreignBackends.clear();
    std::map<PoolKey, std::vector<ZonedName>> serversByPool;
    this->backends.forEach([&serversByPool](const std::string &id, const BackendServer &server) {
        serversByPool[{server.service, server.stage}].push_back(ZonedName{id, server.zone});
    });
    std::set<std::size_t> sharingGroups;
    for (const auto &[poolKey, servers] : serversByPool) {
        Pool &pool = this->pools[poolKey];
        for (const auto &[id, groups] : this->groupPlan.divide(servers)) {
            if (!groups.contains(this->ownGroup)) {
                pool.otherGroups.push_back(id);
                this->foreignBackends.insert(id);
                continue;
            }
            pool.own.push_back(id);
            if (groups.count > 1) {
                this->sharedBackends[id] = groups;
            }
        }
    }
    for (const auto &[id, groups] : this->sharedBackends) {
        for (std::size_t group = groups.first; group < groups.first + groups.count; ++group) {
            sharingGroups.insert(group);
        }
    }
    sharingGroups.erase(this->ownGroup);
    return sharingGroups;
}

void RouterState::reportGroup()
{
    const auto inOtherZones =
        std::count_if(this->peersOfGroup.begin(), this->peersOfGroup.end(),
                      [this](const RouterMember &peer) { return peer.zone != this->settings.zone; });
    std::size_t ownServers = 0;
    std::size_t serversInOtherZones = 0;
    for (const auto &[poolKey, pool] : this->pools) {
        ownServers += pool.own.size();
        serversInOtherZones += std::size_t(std::count_if(pool.own.begin(), pool.own.end(), [this](const auto &id) {
            const BackendServer *server = this->backends.find(id);
            return server != nullptr && server->zone != this->settings.zone;
        }));
    }
    this->metrics.set("cyclamencross_groups", double(this->groupPlan.groupCount()));
    this->metrics.set("cyclamencross_group_peers", double(this->peersOfGroup.size()));
    this->metrics.set("cyclamencross_group_peers_in_other_zones", double(inOtherZones));
    this->metrics.set("cyclamencross_group_backends", double(ownServers));
    this->metrics.set("cyclamencross_group_backends_in_other_zones", double(serversInOtherZones));
    const std::string group = this->groupPlan.label(this->ownGroup);
    const std::string current = group + " " + std::to_string(std::min(this->rankInGroup, WatchersPerGroup)) + " "
        + std::to_string(this->groupPlan.groupCount());
    if (std::exchange(this->reportedGroup, current) == current) {
        return;
    }
    LogLine("group")
        .add("group", group)
        .add("groups", std::uint64_t(this->groupPlan.groupCount()))
        .add("by_zone", this->groupPlan.isByZone())
        .add("watcher_rank", std::uint64_t(this->rankInGroup))
        .add("peers", std::uint64_t(this->peersOfGroup.size()))
        .add("peers_in_other_zones", std::int64_t(inOtherZones))
        .add("backends", std::uint64_t(ownServers))
        .add("backends_in_other_zones", std::uint64_t(serversInOtherZones))
        .add("shared_backends", std::uint64_t(this->sharedBackends.size()))
        .write();
}

std::vector<PlacementCandidate> RouterState::sampleOtherGroups(const std::string &service, EngineStage stage,
                                                               const std::set<std::string> &excluded, TimePoint now,
                                                               std::optional<bool> ofOwnZone,
                                                               const ServerFilter &mayUse)
{
    std::vector<PlacementCandidate> result;
    const auto pool = this->pools.find({service, stage});
    if (pool == this->pools.end()) {
        return result;
    }
    std::size_t seen = 0;
    for (const std::string &id : pool->second.otherGroups) {
        const BackendServer *server = this->backends.find(id);
        if (server == nullptr || !this->mayTakeRequests(*server, now) || excluded.contains(id)
            || (ofOwnZone && *ofOwnZone != (server->zone == this->settings.zone)) || (mayUse && !mayUse(*server))) {
            continue;
        }
        const auto full = this->fullUntil.find(id);
        if (full != this->fullUntil.end() && now < full->second) {
            continue;
        }
        // Reservoir sampling: each eligible backend server is in the sample with the same probability.
        const auto slot = std::size_t(this->random() * double(++seen));
        if (result.size() < OtherGroupSampleSize) {
            result.push_back(this->makeCandidate(*server, this->settings.zone, now));
        } else if (slot < OtherGroupSampleSize) {
            result[slot] = this->makeCandidate(*server, this->settings.zone, now);
        }
    }
    for (PlacementCandidate &candidate : result) {
        candidate.ofOtherGroup = true;
    }
    return result;
}

std::map<std::string, StageLoad> RouterState::ownStageLoads() const
{
    std::map<std::string, StageLoad> result;
    for (const auto &[poolKey, pool] : this->pools) {
        const auto &[service, stage] = poolKey;
        const ServiceConfig *config = this->table ? this->table->service(service) : nullptr;
        const auto otherStage =
            this->pools.find({service, stage == EngineStage::Prefill ? EngineStage::Decode : EngineStage::Prefill});
        if (stage == EngineStage::None || config == nullptr || !config->engine || otherStage == this->pools.end()) {
            continue;
        }
        BackendWork work;
        std::size_t eligible = 0;
        for (const PlacementCandidate &candidate : this->candidates(service, stage, {}, "", this->environment.now())) {
            work += candidate.work;
            ++eligible;
        }
        StageLoad &load = result[service];
        if (stage == EngineStage::Prefill) {
            load.prefillEngines = eligible;
            load.prefillRequests = double(work.requests);
        } else {
            load.decodeEngines = eligible;
            load.decodeUse = double(work.kvCache.peak()) / double(std::max<std::size_t>(1, eligible))
                / double(std::max<std::int64_t>(1, config->engine->kvCacheTokens));
        }
    }
    return result;
}

std::map<std::string, StageLoad> RouterState::stageLoads() const
{
    std::map<std::string, StageLoad> result;
    const TimePoint now = this->environment.now();
    for (const auto &[service, own] : this->ownStageLoads()) {
        std::vector<StageLoad> groups{own};
        for (const auto &[delegate, loads] : this->groupStageLoads) {
            const auto load = loads.first.find(service);
            if (load != loads.first.end() && now - loads.second <= GroupWorkLifetime) {
                groups.push_back(load->second);
            }
        }
        const Pool &prefill = this->pools.at({service, EngineStage::Prefill});
        const Pool &decode = this->pools.at({service, EngineStage::Decode});
        StageLoad &load = result[service];
        load = StageLoads::ofAll(groups, prefill.own.size() + prefill.otherGroups.size(),
                                 decode.own.size() + decode.otherGroups.size());
        // A smaller pool could not be divided among the groups any more.
        load.minPrefillEngines =
            prefill.otherGroups.empty() ? 1 : this->groupPlan.groupCount() * Subsetting::MinBackendsPerGroup;
    }
    return result;
}

bool RouterState::hasZoneGroups() const
{
    return this->groupPlan.isByZone();
}

bool RouterState::mayAskOtherGroups(const std::string &service, bool ofOwnZone, TimePoint now) const
{
    return this->overflowPacer.mayAsk(overflowPool(service, ofOwnZone), now);
}

void RouterState::recordOverflow(const std::string &service, const PlacementCandidate &engine, bool granted,
                                 TimePoint now)
{
    if (!engine.ofOtherGroup) {
        return;
    }
    this->overflowPacer.record(overflowPool(service, engine.sameZone), granted, now);
    this->metrics.count("cyclamencross_other_group_holds_total",
                        {{"zone", engine.sameZone ? "own" : "other"}, {"result", granted ? "granted" : "refused"}});
}

}
