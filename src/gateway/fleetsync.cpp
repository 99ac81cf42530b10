#include "fleetsync.h"

#include "asioutil.h"
#include "routerstate.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <iterator>
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

std::string FleetSync::containmentsKey()
{
    return "cyclamencross/containments";
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
