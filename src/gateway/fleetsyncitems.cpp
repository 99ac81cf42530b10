// The part of FleetSync that applies the items of the store to RouterState.

#include "containmentcodec.h"
#include "fleetsync.h"
#include "memberrecord.h"
#include "routerstate.h"
#include "stageplancodec.h"
#include "versioncodec.h"

#include "cyclamencross/base/logline.h"

#include <set>
#include <utility>

namespace Cyclamen
{

std::vector<StoreItem> FleetSync::findRemoved(const std::string &prefix, const StorePage &page) const
{
    std::set<std::string> present;
    for (const StoreItem &item : page.items) {
        present.insert(item.key);
    }
    std::vector<StoreItem> result;
    const auto addMissing = [&](const std::string &knownPrefix, const std::map<std::string, StoreRevision> &known) {
        if (!knownPrefix.starts_with(prefix)) {
            return;
        }
        for (const auto &[key, revision] : known) {
            // Entries that the watch delivered after the list was started are newer than the list.
            if (!present.contains(knownPrefix + key) && revision <= page.revision) {
                result.push_back(StoreItem{knownPrefix + key, "", page.revision, true});
            }
        }
    };
    addMissing(this->codec.backendPrefix, this->state.backends.revisions());
    addMissing(memberPrefix(), this->state.members.revisions());
    for (const auto &[key, item] : this->heldItems) {
        addMissing("", {{key, item.revision}});
    }
    if (!this->state.leadership.router.empty()) {
        addMissing("", {{leaderKey(), this->state.leadership.revision}});
    }
    if (this->state.stagePlanRevision != StoreRevision()) {
        addMissing("", {{stagePlanKey(), this->state.stagePlanRevision}});
    }
    if (this->state.serviceVersionsRevision != StoreRevision()) {
        addMissing("", {{serviceVersionsKey(), this->state.serviceVersionsRevision}});
    }
    if (this->state.containmentsRevision != StoreRevision()) {
        addMissing("", {{containmentsKey(), this->state.containmentsRevision}});
    }
    return result;
}

bool FleetSync::isOutdated(const StorePage &page, StoreRevision before) const
{
    return this->state.storeRevision > before && page.revision < this->state.storeRevision;
}

StoreRevision FleetSync::knownRevision(const std::string &key) const
{
    if (key.starts_with(this->codec.backendPrefix)) {
        return this->state.backends.revisionOf(key.substr(this->codec.backendPrefix.size()));
    }
    if (key.starts_with(memberPrefix())) {
        return this->state.members.revisionOf(key.substr(memberPrefix().size()));
    }
    if (key == leaderKey()) {
        return this->state.leadership.revision;
    }
    if (key == stagePlanKey()) {
        return this->state.stagePlanRevision;
    }
    if (key == serviceVersionsKey()) {
        return this->state.serviceVersionsRevision;
    }
    return key == containmentsKey() ? this->state.containmentsRevision : StoreRevision();
}

bool FleetSync::apply(const StoreItem &item, bool isDifference)
{
    const StoreRevision known = this->knownRevision(item.key);
    if (item.revision < known) {
        // The answer was overtaken by another one.
        LogLine("change-ignored")
            .add("key", item.key)
            .add("revision", item.revision.number())
            .add("known", known.number())
            .add("removed", item.removed)
            .write();
    }
    if (item.removed) {
        return this->remove(item.key, item.revision, isDifference && this->mayBeLost(known, item.revision));
    }
    if (item.key == this->codec.configKey) {
        return this->putConfig(item);
    }
    if (item.key.starts_with(this->codec.backendPrefix)) {
        return this->putBackend(item);
    }
    if (item.key == leaderKey()) {
        return this->putLeader(item);
    }
    if (item.key == stagePlanKey()) {
        return this->putStagePlan(item);
    }
    if (item.key == containmentsKey()) {
        return this->putContainments(item);
    }
    if (item.key == serviceVersionsKey()) {
        return this->putServiceVersions(item);
    }
    if (item.key.starts_with(streamOriginsPrefix())) {
        return this->putStreamOrigins(item);
    }
    return item.key.starts_with(memberPrefix()) && this->putMember(item);
}

bool FleetSync::putConfig(const StoreItem &item)
{
    auto decoded = this->codec.decodeConfig(item.value);
    if (const auto *fault = std::get_if<InvalidSetting>(&decoded)) {
        LogLine("config-rejected")
            .add("field", fault->key)
            .add("expected", fault->expected)
            .add("revision", item.revision.number())
            .error();
        return false;
    }
    auto &table = std::get<RouteTable>(decoded);
    if (this->state.table && table.version() <= this->state.table->version()) {
        return false;
    }
    LogLine("config-applied")
        .add("version", table.version())
        .add("before", this->state.table ? this->state.table->version() : 0)
        .add("routes", std::uint64_t(table.routeCount()))
        .add("revision", item.revision.number())
        .write();
    this->state.table = std::make_shared<const RouteTable>(std::move(table));
    this->state.quotas.configure(this->state.table->workspaces(), this->state.environment.now());
    this->state.metrics.set("cyclamencross_config_version", double(this->state.table->version()));
    return true;
}

bool FleetSync::putBackend(const StoreItem &item)
{
    const std::string id = item.key.substr(this->codec.backendPrefix.size());
    auto decoded = this->codec.decodeBackend(id, item.value);
    if (const auto *fault = std::get_if<InvalidSetting>(&decoded)) {
        LogLine("backend-entry-rejected")
            .add("backend", id)
            .add("field", fault->key)
            .add("expected", fault->expected)
            .warn();
        return this->remove(item.key, item.revision);
    }
    const auto &server = std::get<BackendServer>(decoded);
    // Peers hold the same items, so they have to hear of an entry that replaces one, also if it is as known.
    const bool wasHeld = this->heldItems.contains(item.key);
    if (this->holdIfOlder(item, server)) {
        return true;
    }
    const BackendServer *known = this->state.backends.find(id);
    const bool wasRegistered = known != nullptr;
    const bool changed = this->state.backends.put(id, server, item.revision);
    const bool isNewest = *this->state.backends.find(id) == server; // An older write read late changes nothing.
    if (isNewest && this->state.statements.applyRegistration(server, wasRegistered)) {
        this->state.namedLimits->forget(id);
        LogLine("backend-restarted").add("backend", id).add("born", server.startUnixMillis).write();
    }
    if (changed) {
        LogLine("backend-changed")
            .add("backend", id)
            .add("service", server.service)
            .add("address", server.address)
            .add("draining", server.draining)
            .add("stage", int(server.stage))
            .add("version", server.version)
            .add("revision", item.revision.number())
            .write();
    }
    return changed || wasHeld;
}

bool FleetSync::putMember(const StoreItem &item)
{
    const std::string name = item.key.substr(memberPrefix().size());
    const auto member = decodeMember(name, item.value);
    if (!member) {
        LogLine("router-entry-rejected").add("router", name).warn();
        return false;
    }
    if (member->lowestGeneration) {
        this->state.lowestGeneration =
            std::min(this->state.lowestGeneration.value_or(*member->lowestGeneration), *member->lowestGeneration);
    }
    const bool changed = this->state.members.put(name, *member, item.revision);
    if (changed) {
        LogLine("router-changed").add("router", name).add("revision", item.revision.number()).write();
    }
    return changed;
}

bool FleetSync::putLeader(const StoreItem &item)
{
    if (item.revision <= this->state.leadership.revision) {
        return false;
    }
    const auto leadership = decodeLeadership(item.value, item.revision);
    if (!leadership) {
        LogLine("leader-record-rejected").add("revision", item.revision.number()).warn();
        return false;
    }
    this->state.leadership = *leadership;
    return true;
}

bool FleetSync::putStagePlan(const StoreItem &item)
{
    if (item.revision <= this->state.stagePlanRevision) {
        return false;
    }
    auto plan = decodeStagePlan(item.value);
    if (!plan) {
        LogLine("stage-plan-rejected").add("revision", item.revision.number()).warn();
        return false;
    }
    const bool isFromCopy = item.revision.generation() > this->state.stagePlanRevision.generation()
        && this->state.stagePlanRevision != StoreRevision() && this->noticedReturnInTime;
    this->state.stagePlanRevision = item.revision;
    if (isFromCopy) {
        // Leaders wait longer than the store was unknown to this router, so the plan that it knows is newer. The next
        // leader writes it.
        this->state.stagePlanUnwritten = *plan != this->state.stagePlan;
        return true;
    }
    this->state.stagePlanUnwritten = false;
    this->state.stagePlan = std::move(*plan);
    this->state.stagePlanSince = this->state.environment.now();
    LogLine("stage-plan").add("engines", std::uint64_t(this->state.stagePlan.stages.size())).write();
    return true;
}

bool FleetSync::putContainments(const StoreItem &item)
{
    if (item.revision <= this->state.containmentsRevision) {
        return false;
    }
    this->state.containmentsRevision = item.revision;
    auto containments =
        decodeContainments(item.value, this->state.environment.now(), this->state.environment.unixSeconds());
    if (!containments) {
        LogLine("containments-rejected").add("revision", item.revision.number()).warn();
        this->state.storedContainments.clear(); // The record is replaced if this router has any containments.
        return false;
    }
    this->state.storedContainments = std::move(*containments);
    this->state.crashes.restore(this->state.storedContainments);
    return true;
}

bool FleetSync::putServiceVersions(const StoreItem &item)
{
    if (item.revision <= this->state.serviceVersionsRevision) {
        return false;
    }
    auto versions = decodeServiceVersions(item.value);
    if (!versions) {
        LogLine("service-versions-rejected").add("revision", item.revision.number()).warn();
        versions = ServiceVersions(); // No stream goes on until the record is replaced.
    }
    const bool isFromCopy = item.revision.generation() > this->state.serviceVersionsRevision.generation();
    // Streams of a version that the copy lacks may be under way.
    ServiceVersions merged = isFromCopy ? versions->mergedWith(this->state.serviceVersions) : *versions;
    this->state.serviceVersionsUnwritten = merged != *versions;
    this->state.serviceVersions = std::move(merged);
    this->state.serviceVersionsRevision = item.revision;
    for (const auto &[service, states] : this->state.serviceVersions.services()) {
        for (const auto &[version, state] : states) {
            LogLine("service-version")
                .add("service", service)
                .add("version", version)
                .add("open", state == ServiceVersions::State::Open)
                .add("revision", item.revision.number())
                .write();
        }
    }
    return true;
}

bool FleetSync::putStreamOrigins(const StoreItem &item)
{
    const auto origins = decodeStreamOrigins(item.value);
    if (!origins) {
        LogLine("stream-origins-rejected").add("key", item.key).add("revision", item.revision.number()).warn();
        return false;
    }
    return this->state.streamOrigins.learn(*origins, true, this->state.environment.now());
}

bool FleetSync::isInLists(const StoreItem &item) const
{
    return item.key != this->codec.configKey && item.key != serviceVersionsKey()
        && !item.key.starts_with(streamOriginsPrefix());
}

bool FleetSync::remove(const std::string &key, StoreRevision revision, bool isAbsence)
{
    const auto held = this->heldItems.find(key);
    const bool wasHeld = held != this->heldItems.end() && held->second.revision <= revision;
    if (wasHeld) {
        this->heldItems.erase(held);
    }
    if (key == serviceVersionsKey() && revision >= this->state.serviceVersionsRevision) {
        this->state.serviceVersionsUnwritten =
            isAbsence && revision.generation() > this->state.serviceVersionsRevision.generation();
        if (!this->state.serviceVersionsUnwritten) {
            this->state.serviceVersions = ServiceVersions();
        }
        this->state.serviceVersionsRevision = StoreRevision();
        return true;
    }
    if (key == stagePlanKey()) {
        const bool isLost = isAbsence && revision.generation() > this->state.stagePlanRevision.generation();
        this->state.stagePlanUnwritten = this->state.stagePlanUnwritten || isLost;
        return isLost;
    }
    if (key == leaderKey() && revision >= this->state.leadership.revision) {
        const bool known = !this->state.leadership.router.empty();
        this->state.leadership = Leadership{"", 0, 0, revision};
        return known;
    }
    if (key == containmentsKey()) {
        this->state.containmentsRevision = StoreRevision();
        this->state.storedContainments.clear();
        return true;
    }
    const auto until = this->keepUntil(key, isAbsence);
    if (key.starts_with(this->codec.backendPrefix)) {
        const std::string id = key.substr(this->codec.backendPrefix.size());
        const BackendServer *server = this->state.backends.find(id);
        const bool known = server != nullptr;
        if (known) {
            LogLine("backend-removed").add("backend", id).add("held", until.has_value()).write();
            const BackendServer removed = *server;
            if (this->state.backends.remove(id, revision, until)) {
                this->storeReturn.recordRemoval(removed, this->state.environment.now());
            }
        }
        return known || wasHeld;
    }
    if (!key.starts_with(memberPrefix())) {
        return false;
    }
    const std::string name = key.substr(memberPrefix().size());
    if (name == this->state.settings.name) {
        // This router stays in its own list, so that it remains in its group, and registers again. The removal of an
        // earlier registration may be read after the new one was written.
        this->registered = this->registered && revision < this->registrationRevision;
        return false;
    }
    const bool known = this->state.members.find(name) != nullptr;
    if (known) {
        LogLine("router-removed").add("router", name).write();
    }
    this->state.members.remove(name, revision, until);
    return known;
}

}
