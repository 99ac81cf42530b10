#include "fleetsync.h"

#include "asioutil.h"
#include "memberrecord.h"
#include "routerstate.h"
#include "stageplancodec.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Cyclamen
{

namespace
{

// Duration of an outage of the store from which entries may have expired: shorter than three heartbeats of a backend
// server.
constexpr Millis MinLapseOutage{1000};
constexpr Millis PollPeriod{100};

std::string failureName(StoreFailure::Kind kind)
{
    switch (kind) {
    case StoreFailure::Kind::Unreachable:
        return "unreachable";
    case StoreFailure::Kind::Refused:
        return "refused";
    case StoreFailure::Kind::HistoryCompacted:
        return "history-gone";
    case StoreFailure::Kind::Conflict:
        return "conflict";
    case StoreFailure::Kind::LeaseExpired:
        return "no-lease";
    case StoreFailure::Kind::Malformed:
        return "malformed";
    }
    return "unknown";
}

}

FleetSync::FleetSync(RouterState &state, StateStore store, FleetCodec codec)
    : state(state)
    , store(std::move(store))
    , codec(std::move(codec))
{
    this->state.onPeerChanges = [this](const StoreChanges &changes) { this->applyPeerChanges(changes); };
}

std::string FleetSync::memberPrefix()
{
    return "cyclamencross/routers/";
}

std::string FleetSync::leaderKey()
{
    return "cyclamencross/leader";
}

std::string FleetSync::stagePlanKey()
{
    return "cyclamencross/stages";
}

boost::asio::awaitable<void> FleetSync::follow(std::string prefix)
{
    int failures = 0;
    while (true) {
        if (this->contact.lost && this->state.backendsKnown) {
            // The lease renewals detect when the store recovers; retrying here too would only add refused calls.
            co_await this->waitForStore(OutageReadInterval);
        }
        if (!this->watchRevision) {
            this->watchRevision = co_await this->readAll(prefix);
            if (!this->watchRevision) {
                co_await sleepFor(this->backoff(++failures));
                continue;
            }
            failures = 0;
        }
        if (!this->shouldWatch()) {
            this->state.watching = false;
            co_await sleepFor(PollPeriod);
            continue;
        }
        const bool lostBefore = this->contact.lost;
        this->state.watching = !lostBefore;
        const Millis wait = this->state.groupPeers().empty() ? SoloWatchTimeout : WatchTimeout;
        const StoreResult<StorePage> result = co_await this->store.watch(prefix, *this->watchRevision, wait);
        if (const auto *page = std::get_if<StorePage>(&result)) {
            this->recordSuccess();
            failures = 0;
            const std::uint64_t before = this->state.storeRevision;
            this->applyAll(page->items, page->revision);
            if (!page->items.empty()) {
                this->state.queueChangesForPeers(StoreChanges{before, this->state.storeRevision, false, page->items});
                co_await sleepFor(this->state.isPrimaryWatcher() ? BatchDelay : StandbyBatchDelay);
            }
            continue;
        }
        const StoreFailure &failure = std::get<StoreFailure>(result);
        this->recordFailure("watch", failure);
        if (!lostBefore || failure.kind == StoreFailure::Kind::HistoryCompacted) {
            // An interrupted watch may have missed changes, so everything is read anew.
            this->watchRevision = std::nullopt;
        }
        if (failure.kind == StoreFailure::Kind::HistoryCompacted) {
            this->recordSuccess();
            continue;
        }
        co_await sleepFor(this->backoff(++failures));
    }
}

boost::asio::awaitable<void> FleetSync::catchUp(std::string prefix)
{
    TimePoint lastInSync = Clock::now();
    while (true) {
        co_await sleepFor(PollPeriod);
        const bool behind = this->state.newestPeerRevision > this->state.storeRevision;
        const bool overdue = behind && Clock::now() - lastInSync >= CatchUpDelay;
        if (!behind) {
            lastInSync = Clock::now();
        }
        if (this->contact.resyncNeeded && !this->state.isDesignatedWatcher()) {
            co_await sleepFor(WatcherHeadStart);
        }
        if (!this->shouldWatch()) {
            this->contact.resyncNeeded = false; // The watchers of the group read the store and report the changes.
        }
        if (!this->watchRevision || this->contact.lost || (!overdue && !this->contact.resyncNeeded)) {
            continue;
        }
        LogLine("catching-up")
            .add("revision", this->state.storeRevision)
            .add("peers_revision", this->state.newestPeerRevision)
            .add("regained", this->contact.resyncNeeded)
            .write();
        const bool resync = std::exchange(this->contact.resyncNeeded, false);
        lastInSync = Clock::now();
        if (!resync && !this->state.watching) {
            const bool inSync = co_await this->readChanges(prefix);
            if (inSync) {
                continue;
            }
        }
        const auto revision = co_await this->readAll(prefix);
        if (revision) {
            this->watchRevision = std::max(this->watchRevision.value_or(0), *revision);
            // A revision that a peer reports beyond the store's own would cause reads forever.
            this->state.newestPeerRevision = this->state.storeRevision;
            this->store.cancelWatch();
        }
    }
}

boost::asio::awaitable<void> FleetSync::waitForStore(Millis maxWait)
{
    const TimePoint until = Clock::now() + maxWait;
    while (this->contact.lost && Clock::now() < until) {
        co_await sleepFor(PollPeriod);
    }
    if (!this->contact.lost && !this->state.isDesignatedWatcher()) {
        co_await sleepFor(WatcherHeadStart);
    }
}

void FleetSync::applyAll(const std::vector<StoreItem> &items, std::uint64_t revision)
{
    bool listsChanged = false;
    for (const StoreItem &item : items) {
        const bool changed = this->apply(item);
        listsChanged = listsChanged || (changed && item.key != this->codec.configKey);
    }
    if (this->watchRevision) {
        this->watchRevision = std::max(*this->watchRevision, revision);
    }
    if (listsChanged) {
        this->state.requestRegroup(Clock::now());
    }
}

void FleetSync::applyPeerChanges(const StoreChanges &changes)
{
    // If changes before these are missing, the peer's newer revision causes a read of the store later.
    const std::uint64_t known = this->state.storeRevision;
    if (!this->watchRevision || known < changes.after || known >= changes.upTo
        || (changes.isSnapshotDiff && known != changes.after)) {
        return;
    }
    this->applyAll(changes.items, changes.upTo);
    this->state.storeRevision = std::max(this->state.storeRevision, changes.upTo);
    this->state.metrics.count("cyclamencross_peer_changes_total", {}, double(changes.items.size()));
}

bool FleetSync::shouldWatch() const
{
    return this->state.isDesignatedWatcher() || !this->state.hasLiveWatcher(Clock::now());
}

boost::asio::awaitable<bool> FleetSync::readChanges(std::string prefix)
{
    for (int reads = 0; reads < MaxChangeReads; ++reads) {
        const StoreResult<StorePage> result =
            co_await this->store.watch(prefix, this->state.storeRevision, ChangeReadWait);
        const auto *page = std::get_if<StorePage>(&result);
        if (page == nullptr || page->items.empty()) {
            co_return false; // A store that drops its history may return a newer revision without the changes.
        }
        this->recordSuccess();
        this->applyAll(page->items, page->revision);
        if (this->state.storeRevision >= this->state.newestPeerRevision) {
            co_return true;
        }
    }
    co_return false;
}

boost::asio::awaitable<std::optional<std::uint64_t>> FleetSync::readAll(std::string prefix)
{
    const StoreResult<StorePage> result = co_await this->store.list(prefix);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->recordFailure("list", *failure);
        co_return std::nullopt;
    }
    this->recordSuccess();
    this->contact.resyncNeeded = false;
    const StorePage &page = std::get<StorePage>(result);
    StoreChanges changes;
    changes.after = this->state.storeRevision;
    changes.upTo = page.revision;
    changes.isSnapshotDiff = true;
    const auto applyNew = [&](const std::vector<StoreItem> &items) {
        std::copy_if(items.begin(), items.end(), std::back_inserter(changes.items),
                     [this](const StoreItem &item) { return this->apply(item); });
    };
    applyNew(page.items);
    applyNew(this->findRemoved(prefix, page));
    // The list holds every change up to its revision, even if the last ones were removals or were overwritten and no
    // item has that revision. Items on later pages may be newer, but not all changes before them are in the list.
    this->state.storeRevision = std::max(changes.after, page.revision);
    this->state.regroup();
    if (changes.after > 0 && changes.upTo > changes.after && this->state.isDesignatedWatcher()) {
        this->state.queueChangesForPeers(changes);
    }
    if (this->codec.backendPrefix.starts_with(prefix)) {
        this->state.backendsKnown = true;
    }
    co_return page.revision;
}

std::vector<StoreItem> FleetSync::findRemoved(const std::string &prefix, const StorePage &page) const
{
    std::set<std::string> present;
    for (const StoreItem &item : page.items) {
        present.insert(item.key);
    }
    std::vector<StoreItem> result;
    const auto addMissing = [&](const std::string &knownPrefix, const std::map<std::string, std::uint64_t> &known) {
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
    if (!this->state.leadership.router.empty()) {
        addMissing("", {{leaderKey(), this->state.leadership.revision}});
    }
    return result;
}

bool FleetSync::apply(const StoreItem &item)
{
    this->state.storeRevision = std::max(this->state.storeRevision, item.revision);
    if (item.removed) {
        return this->remove(item.key, item.revision);
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
    return item.key.starts_with(memberPrefix()) && this->putMember(item);
}

bool FleetSync::putConfig(const StoreItem &item)
{
    auto decoded = this->codec.decodeConfig(item.value);
    if (const auto *fault = std::get_if<InvalidSetting>(&decoded)) {
        LogLine("config-rejected")
            .add("field", fault->key)
            .add("expected", fault->expected)
            .add("revision", item.revision)
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
        .add("revision", item.revision)
        .write();
    this->state.table = std::make_shared<const RouteTable>(std::move(table));
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
    const bool changed = this->state.backends.put(id, server, item.revision);
    if (changed) {
        LogLine("backend-changed")
            .add("backend", id)
            .add("service", server.service)
            .add("address", server.address)
            .add("draining", server.draining)
            .add("stage", int(server.stage))
            .add("revision", item.revision)
            .write();
    }
    return changed;
}

bool FleetSync::putMember(const StoreItem &item)
{
    const std::string name = item.key.substr(memberPrefix().size());
    const auto member = decodeMember(name, item.value);
    if (!member) {
        LogLine("router-entry-rejected").add("router", name).warn();
        return false;
    }
    const bool changed = this->state.members.put(name, *member, item.revision);
    if (changed) {
        LogLine("router-changed").add("router", name).add("revision", item.revision).write();
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
        LogLine("leader-record-rejected").add("revision", item.revision).warn();
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
        LogLine("stage-plan-rejected").add("revision", item.revision).warn();
        return false;
    }
    this->state.stagePlan = std::move(*plan);
    this->state.stagePlanRevision = item.revision;
    this->state.stagePlanSince = Clock::now();
    LogLine("stage-plan").add("engines", std::uint64_t(this->state.stagePlan.stages.size())).write();
    return true;
}

bool FleetSync::remove(const std::string &key, std::uint64_t revision)
{
    if (key == leaderKey() && revision >= this->state.leadership.revision) {
        const bool known = !this->state.leadership.router.empty();
        this->state.leadership = Leadership{"", 0, revision};
        return known;
    }
    const auto until = this->keepUntil();
    if (key.starts_with(this->codec.backendPrefix)) {
        const std::string id = key.substr(this->codec.backendPrefix.size());
        const bool known = this->state.backends.find(id) != nullptr;
        if (known) {
            LogLine("backend-removed").add("backend", id).add("held", until.has_value()).write();
        }
        this->state.backends.remove(id, revision, until);
        return known;
    }
    if (!key.starts_with(memberPrefix())) {
        return false;
    }
    const std::string name = key.substr(memberPrefix().size());
    const bool known = this->state.members.find(name) != nullptr;
    if (known) {
        LogLine("router-removed").add("router", name).write();
    }
    this->state.members.remove(name, revision, until);
    if (name == this->state.settings.name) {
        this->registered = false;
    }
    return known;
}

boost::asio::awaitable<void> FleetSync::keepRegistered()
{
    int failures = 0;
    while (!this->state.stopping) {
        if (!this->registered) {
            const bool done = co_await this->registerOnce();
            failures = done ? 0 : failures + 1;
            if (!done) {
                co_await sleepFor(this->backoff(failures));
            }
            continue;
        }
        // Sleeps in short steps, so that a registration that was removed by others is written again soon.
        const TimePoint next = Clock::now()
            + (this->contact.lost         ? Millis(0)
                   : this->state.watching ? WatcherRenewPeriod
                                          : RenewPeriod);
        while (this->registered && !this->state.stopping && Clock::now() < next) {
            co_await sleepFor(Millis(100));
        }
        if (!this->registered || this->state.stopping) {
            continue;
        }
        const Clock::duration renewalStart = bootTime();
        const StoreResult<std::uint64_t> renewed = co_await this->store.renewLease(this->lease);
        if (const auto *failure = std::get_if<StoreFailure>(&renewed)) {
            this->recordFailure("renew", *failure);
            if (failure->kind == StoreFailure::Kind::LeaseExpired) {
                this->registered = false;
            } else {
                co_await sleepFor(this->backoff(++failures));
            }
        } else {
            failures = 0;
            this->leaseConfirmedAt = renewalStart;
            this->recordSuccess();
        }
    }
}

boost::asio::awaitable<bool> FleetSync::registerOnce()
{
    const Millis lifetime = std::max(LeaseLifetime, this->state.settings.minLeaseLifetime);
    const Clock::duration start = bootTime();
    const StoreResult<std::uint64_t> granted = co_await this->store.grantLease(lifetime);
    if (const auto *failure = std::get_if<StoreFailure>(&granted)) {
        this->recordFailure("lease", *failure);
        co_return false;
    }
    this->lease = std::get<std::uint64_t>(granted);
    this->leaseConfirmedAt = start;
    const RouterSettings &settings = this->state.settings;
    const RouterMember member{settings.name, this->state.incarnation, settings.zone, settings.callerAddress,
                              settings.peerAddress};
    const StoreResult<std::uint64_t> written =
        co_await this->store.write(memberPrefix() + settings.name, encodeMember(member), this->lease);
    if (const auto *failure = std::get_if<StoreFailure>(&written)) {
        this->recordFailure("register", *failure);
        co_return false;
    }
    this->recordSuccess();
    this->registered = true;
    this->state.members.put(settings.name, member, std::get<std::uint64_t>(written));
    this->state.regroup();
    LogLine("registered").add("lease", this->lease).add("revision", std::get<std::uint64_t>(written)).write();
    co_return true;
}

boost::asio::awaitable<void> FleetSync::claimLeadership()
{
    if (!this->isLeaseConfirmed()) {
        co_return;
    }
    const Leadership record{this->state.settings.name, this->state.incarnation, 0};
    const StoreResult<std::uint64_t> written =
        co_await this->store.writeIf(leaderKey(), encodeLeadership(record), this->lease, leaderKey(), 0);
    if (const auto *failure = std::get_if<StoreFailure>(&written)) {
        if (failure->kind != StoreFailure::Kind::Conflict) {
            this->recordFailure("claim-leadership", *failure);
        }
        co_return;
    }
    this->recordSuccess();
}

boost::asio::awaitable<void> FleetSync::writeStagePlan(StagePlan plan)
{
    const StoreResult<std::uint64_t> written = co_await this->store.writeIf(
        stagePlanKey(), encodeStagePlan(plan), 0, leaderKey(), this->state.leadership.revision);
    if (const auto *failure = std::get_if<StoreFailure>(&written)) {
        this->recordFailure("write-stage-plan", *failure);
        co_return;
    }
    this->recordSuccess();
}

bool FleetSync::isLeaseConfirmed() const
{
    return this->registered && bootTime() - this->leaseConfirmedAt <= LeaseTrust;
}

boost::asio::awaitable<void> FleetSync::unregister()
{
    if (this->lease == 0) {
        co_return;
    }
    const StoreResult<std::uint64_t> ended = co_await this->store.endLease(this->lease);
    if (const auto *failure = std::get_if<StoreFailure>(&ended)) {
        this->recordFailure("end-lease", *failure);
    }
}

void FleetSync::expire(TimePoint now)
{
    const std::size_t gone = this->state.backends.expire(now);
    if (gone > 0) {
        LogLine("held-backends-removed").add("count", std::uint64_t(gone)).write();
    }
    if (this->state.members.expire(now) + gone > 0) {
        this->state.regroup();
    }
}

void FleetSync::recordSuccess()
{
    const TimePoint now = Clock::now();
    if (this->contact.lost) {
        this->contact.lost = false;
        if (now - this->contact.lastAnswer > MinLapseOutage) {
            this->contact.regainedAt = now;
        }
        this->contact.resyncNeeded = true;
        LogLine("store-regained")
            .add("silent_ms", std::int64_t(toSeconds(now - this->contact.lastAnswer) * 1000))
            .write();
    }
    this->contact.lastAnswer = now;
}

void FleetSync::recordFailure(const std::string &call, const StoreFailure &failure)
{
    this->state.metrics.count("cyclamencross_store_failures_total",
                              {{"call", call}, {"reason", failureName(failure.kind)}});
    const bool lost = failure.kind == StoreFailure::Kind::Unreachable || failure.kind == StoreFailure::Kind::Refused;
    if (lost) {
        this->state.watching = false;
    }
    if (lost && !std::exchange(this->contact.lost, true)) {
        LogLine("store-lost")
            .add("call", call)
            .add("reason", failureName(failure.kind))
            .add("detail", failure.detail)
            .warn();
    }
}

std::optional<TimePoint> FleetSync::keepUntil() const
{
    const TimePoint end = this->contact.regainedAt + LapseGracePeriod;
    if (this->contact.regainedAt == TimePoint() || Clock::now() >= end) {
        return std::nullopt;
    }
    return end;
}

Millis FleetSync::backoff(int failures)
{
    const Millis maxDelay = std::min(MaxBackoff, BaseBackoff * (1 << std::min(failures, 5)));
    return Millis(std::int64_t((0.5 + 0.5 * this->state.random()) * double(maxDelay.count())));
}

}
