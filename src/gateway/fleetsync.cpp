#include "fleetsync.h"

#include "routerstate.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Cyclamen
{

namespace
{

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

std::string FleetSync::serviceVersionsKey()
{
    return "cyclamencross/versions";
}

std::string FleetSync::streamOriginsPrefix()
{
    return "cyclamencross/streams/";
}

std::string FleetSync::containmentsKey()
{
    return "cyclamencross/containments";
}

boost::asio::awaitable<void> FleetSync::follow(std::string prefix)
{
    int failures = 0;
    while (true) {
        if (this->isStoreLost() && this->state.backendsKnown) {
            // The lease renewals detect when the store recovers; retrying here too would only add refused calls.
            co_await this->waitForStore(OutageReadInterval);
        }
        if (!this->watchRevision) {
            this->watchRevision = co_await this->readAll(prefix);
            if (!this->watchRevision) {
                co_await this->state.environment.sleep(this->backoff(++failures));
                continue;
            }
            failures = 0;
        }
        if (!this->shouldWatch()) {
            this->state.watching = false;
            co_await this->state.environment.sleep(PollPeriod);
            continue;
        }
        const bool lostBefore = this->isStoreLost();
        this->state.watching = !lostBefore;
        const TimePoint start = this->state.environment.now();
        const Millis wait = this->state.freshness.watchWait(start);
        const StoreRevision known = this->state.storeRevision;
        const StoreRevision position = *this->watchRevision;
        const StoreResult<StorePage> result = co_await this->store.watch(prefix, position, wait);
        if (const auto *page = std::get_if<StorePage>(&result)) {
            this->noteGeneration(page->revision.generation());
            this->recordSuccess();
            if (!this->isOfCurrentGeneration(page->revision.generation())) {
                // Overtaken by an answer of a later generation, or without a generation, and so without an order.
                co_await this->state.environment.sleep(this->backoff(++failures));
                continue;
            }
            if (page->revision.generation() > position.generation()) {
                this->watchRevision = std::nullopt; // Changes between the two generations have no order.
                continue;
            }
            failures = 0;
            if (this->isOutdated(*page, known)) {
                this->watchRevision = std::max(*this->watchRevision, page->revision);
                continue;
            }
            const StoreRevision before = this->state.storeRevision;
            const bool hidesChanges = page->items.empty() && page->revision > before;
            this->applyAll(page->items, page->revision);
            if (hidesChanges) {
                this->contact.resyncNeeded = true; // A store that drops its history may leave out changes.
            } else {
                // Without changes, the store has answered after the wait; with changes, at any time since the call.
                this->state.confirmChanges(page->items.empty() ? std::min(start + wait, this->state.environment.now())
                                                               : start);
            }
            if (!page->items.empty()) {
                this->state.queueChangesForPeers(StoreChanges{before, this->state.storeRevision, false, page->items});
                co_await this->state.environment.sleep(BatchDelay);
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
        co_await this->state.environment.sleep(this->backoff(++failures));
    }
}

boost::asio::awaitable<void> FleetSync::catchUp(std::string prefix)
{
    TimePoint lastInSync = this->state.environment.now();
    while (true) {
        co_await this->state.environment.sleep(PollPeriod);
        const std::uint64_t named = this->state.newestPeerRevision.generation();
        if (named > std::max(this->state.storeGeneration, this->askedGeneration)) {
            this->askedGeneration = named;
            this->askedAt = this->state.environment.now();
            this->renewSoon = true; // Only an answer of the store shows which generation it has.
        }
        const bool behind = this->state.newestPeerRevision > this->state.storeRevision;
        const bool overdue = behind && this->state.environment.now() - lastInSync >= CatchUpDelay;
        if (!behind) {
            lastInSync = this->state.environment.now();
        }
        if (this->contact.resyncNeeded && !this->state.isDesignatedWatcher()) {
            co_await this->state.environment.sleep(WatcherHeadStart);
        }
        if (!this->state.isDesignatedWatcher()) {
            this->contact.resyncNeeded = false; // The watchers of the group read the store and report the changes.
        }
        if (!this->watchRevision || this->isStoreLost() || this->keepFreshReads()
            || (!overdue && !this->contact.resyncNeeded)) {
            continue;
        }
        this->logCatchUp(this->contact.resyncNeeded ? "regained" : "behind-peers");
        const bool resync = std::exchange(this->contact.resyncNeeded, false);
        lastInSync = this->state.environment.now();
        if (resync || this->state.watching) {
            co_await this->readAllAgain(prefix);
        } else {
            co_await this->readMissing(prefix);
        }
    }
}

boost::asio::awaitable<void> FleetSync::keepFresh(std::string prefix)
{
    int failures = 0;
    while (true) {
        co_await this->state.environment.sleep(StoreFreshness::CheckPeriod);
        const TimePoint now = this->state.environment.now();
        // After an outage, the watchers read the whole store and report the changes.
        const bool resyncing = this->contact.resyncNeeded && now - this->contact.foundAt < WatcherHeadStart;
        // While the store is away, the lease renewals detect its return.
        if (!this->watchRevision || this->isStoreLost() || resyncing
            || !this->state.freshness.isReadDue(this->state.watcherRank(), now)) {
            continue;
        }
        this->logCatchUp("not-certain");
        this->readsForFreshness = true;
        const ReadResult result = co_await this->readMissing(prefix);
        this->readsForFreshness = false;
        failures = result == ReadResult::Failed ? failures + 1 : 0;
        if (failures > 0) {
            co_await this->state.environment.sleep(
                this->backoff(failures)); // Renewals may succeed while the store refuses reads.
        }
    }
}

bool FleetSync::keepFreshReads() const
{
    return this->readsForFreshness
        || this->state.freshness.isReadDue(this->state.watcherRank(), this->state.environment.now());
}

void FleetSync::logCatchUp(const std::string &reason) const
{
    LogLine("catching-up")
        .add("reason", reason)
        .add("revision", this->state.storeRevision.number())
        .add("peers_revision", this->state.newestPeerRevision.number())
        .add("generation", this->state.storeGeneration)
        .add("certainty_age_ms", this->state.certaintyAge().value_or(Millis(-1)).count())
        .write();
}

void FleetSync::logRead(const std::string &call, const StorePage &page, TimePoint start) const
{
    std::uint64_t bytes = 0;
    for (const StoreItem &item : page.items) {
        bytes += item.key.size() + item.value.size();
    }
    LogLine("store-read")
        .add("call", call)
        .add("before", this->state.storeRevision.number())
        .add("revision", page.revision.number())
        .add("generation", page.revision.generation())
        .add("items", std::uint64_t(page.items.size()))
        .add("bytes", bytes)
        .add("ms", std::int64_t(toSeconds(this->state.environment.now() - start) * 1000))
        .write();
}

boost::asio::awaitable<FleetSync::ReadResult> FleetSync::readMissing(std::string prefix)
{
    ReadResult result = co_await this->readChanges(prefix);
    if (result == ReadResult::Incomplete) {
        result = co_await this->readAllAgain(prefix);
    }
    co_return result;
}

boost::asio::awaitable<FleetSync::ReadResult> FleetSync::readAllAgain(std::string prefix)
{
    const auto revision = co_await this->readAll(prefix);
    if (!revision) {
        co_return ReadResult::Failed;
    }
    this->watchRevision = std::max(this->watchRevision.value_or(StoreRevision()), *revision);
    // A revision that a peer reports beyond the store's own would cause reads forever.
    this->state.newestPeerRevision = this->state.storeRevision;
    this->store.cancelWatch();
    co_return ReadResult::InSync;
}

boost::asio::awaitable<void> FleetSync::waitForStore(Millis maxWait)
{
    const TimePoint until = this->state.environment.now() + maxWait;
    while (this->isStoreLost() && this->state.environment.now() < until) {
        co_await this->state.environment.sleep(PollPeriod);
    }
    if (!this->isStoreLost() && !this->state.isDesignatedWatcher()) {
        co_await this->state.environment.sleep(WatcherHeadStart);
    }
}

void FleetSync::applyAll(const std::vector<StoreItem> &items, StoreRevision revision, bool isDifference)
{
    bool listsChanged = false;
    StoreRevision newest;
    for (const StoreItem &item : items) {
        newest = std::max(newest, item.revision);
        const bool changed = this->apply(item, isDifference);
        listsChanged = listsChanged || (changed && this->isInLists(item));
    }
    // A difference to a list that was read in pages may hold items newer than the list, but not all changes before
    // them.
    this->state.storeRevision = std::max(this->state.storeRevision, std::min(newest, revision));
    if (this->watchRevision) {
        this->watchRevision = std::max(*this->watchRevision, revision);
    }
    if (listsChanged) {
        this->state.requestRegroup(this->state.environment.now());
    }
}

void FleetSync::applyPeerChanges(const StoreChanges &changes)
{
    if (this->watchRevision && this->state.storeRevision == changes.after) {
        this->noteGeneration(changes.upTo.generation());
    }
    // If changes before these are missing, the peer's newer revision causes a read of the store later.
    const StoreRevision known = this->state.storeRevision;
    if (!this->watchRevision || known < changes.after || known >= changes.upTo
        || (changes.isSnapshotDiff && known != changes.after)) {
        return;
    }
    if (changes.after.generation() < changes.upTo.generation()) {
        this->copiedUpTo = changes.copiedUpTo;
    }
    this->applyAll(changes.items, changes.upTo, changes.isSnapshotDiff);
    this->state.storeRevision = std::max(this->state.storeRevision, changes.upTo);
    this->state.metrics.count("cyclamencross_peer_changes_total", {}, double(changes.items.size()));
}

bool FleetSync::shouldWatch() const
{
    return this->state.isPrimaryWatcher()
        || (this->state.isDesignatedWatcher() && !this->state.hasLiveWatcher(this->state.environment.now()));
}

boost::asio::awaitable<FleetSync::ReadResult> FleetSync::readChanges(std::string prefix)
{
    bool failedBefore = false;
    for (int reads = 0; reads < MaxChangeReads; ++reads) {
        const TimePoint start = this->state.environment.now();
        const StoreRevision known = this->state.storeRevision;
        if (!this->isOfCurrentGeneration(known.generation())) {
            co_return ReadResult::Incomplete; // Changes between two generations have no order.
        }
        const StoreResult<StorePage> result = co_await this->store.readChanges(prefix, known);
        if (const auto *failure = std::get_if<StoreFailure>(&result)) {
            if (failure->kind == StoreFailure::Kind::HistoryCompacted) {
                this->recordSuccess();
                co_return ReadResult::Incomplete;
            }
            const bool mayBeSilent = failure->kind == StoreFailure::Kind::Unreachable;
            if (mayBeSilent && !std::exchange(failedBefore, true)) {
                continue;
            }
            this->recordFailure("read-changes", *failure);
            // The answer may be larger than this router accepts, since it holds each version that was missed.
            co_return failure->kind == StoreFailure::Kind::Malformed ? ReadResult::Incomplete : ReadResult::Failed;
        }
        const StorePage &page = std::get<StorePage>(result);
        this->noteGeneration(page.revision.generation());
        this->recordSuccess();
        this->logRead("read-changes", page, start);
        if (page.revision.generation() != known.generation()) {
            co_return this->isOfCurrentGeneration(page.revision.generation()) ? ReadResult::Incomplete
                                                                              : ReadResult::Failed;
        }
        if (this->isOutdated(page, known)) {
            continue;
        }
        if (page.items.empty() && page.revision > this->state.storeRevision) {
            co_return ReadResult::Incomplete; // A store that drops its history may leave out changes.
        }
        const StoreRevision before = this->state.storeRevision;
        this->applyAll(page.items, page.revision);
        this->state.confirmChanges(start);
        // Without a live watcher in the group, as when the store rejects all of them, whoever can read tells the
        // others what none of them has reported yet.
        const bool tellsPeers = this->state.storeRevision > this->state.newestPeerRevision
            && (this->state.isDesignatedWatcher() || !this->state.hasLiveWatcher(this->state.environment.now()));
        if (!page.items.empty() && tellsPeers) {
            this->state.queueChangesForPeers(StoreChanges{before, this->state.storeRevision, false, page.items});
        }
        if (this->state.storeRevision >= this->state.newestPeerRevision) {
            co_return ReadResult::InSync;
        }
        if (page.items.empty()) {
            co_return ReadResult::Incomplete;
        }
    }
    co_return ReadResult::Incomplete;
}

boost::asio::awaitable<std::optional<StoreRevision>> FleetSync::readAll(std::string prefix)
{
    const TimePoint start = this->state.environment.now();
    const StoreRevision known = this->state.storeRevision;
    const StoreResult<StorePage> result = co_await this->store.list(prefix);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->recordFailure("list", *failure);
        co_return std::nullopt;
    }
    const StorePage &page = std::get<StorePage>(result);
    this->noteGeneration(page.revision.generation());
    this->recordSuccess();
    this->logRead("list", page, start);
    this->contact.resyncNeeded =
        this->isOutdated(page, known) || !this->isOfCurrentGeneration(page.revision.generation());
    if (this->contact.resyncNeeded) {
        co_return std::nullopt;
    }
    StoreChanges changes;
    changes.after = this->state.storeRevision;
    changes.upTo = page.revision;
    changes.isSnapshotDiff = true;
    if (changes.after.generation() < changes.upTo.generation()) {
        this->copiedUpTo = this->findCopiedUpTo(page);
        changes.copiedUpTo = this->copiedUpTo;
    }
    const auto applyNew = [&](const std::vector<StoreItem> &items) {
        std::copy_if(items.begin(), items.end(), std::back_inserter(changes.items),
                     [this](const StoreItem &item) { return this->apply(item, true); });
    };
    applyNew(page.items);
    applyNew(this->findRemoved(prefix, page));
    // The list holds every change up to its revision, even if the last ones were removals or were overwritten and no
    // item has that revision. Items on later pages may be newer, but not all changes before them are in the list.
    this->state.storeRevision = std::max(changes.after, page.revision);
    this->state.confirmChanges(start);
    this->state.regroup();
    if (changes.after != StoreRevision() && changes.upTo > changes.after && this->state.isDesignatedWatcher()) {
        this->state.queueChangesForPeers(changes);
    }
    if (this->codec.backendPrefix.starts_with(prefix)) {
        this->state.backendsKnown = true;
    }
    co_return page.revision;
}

void FleetSync::recordSuccess()
{
    const TimePoint now = this->state.environment.now();
    if (this->isStoreLost()) {
        this->state.storeLostSince = std::nullopt;
        this->contact.foundAt = now;
        this->contact.resyncNeeded = true;
        LogLine("store-regained")
            .add("silent_ms", std::int64_t(toSeconds(now - this->contact.lastAnswer) * 1000))
            .write();
    }
    this->contact.lastAnswer = now;
    this->state.freshness.recordAnswer(now);
}

void FleetSync::recordFailure(const std::string &call, const StoreFailure &failure)
{
    this->state.metrics.count("cyclamencross_store_failures_total",
                              {{"call", call}, {"reason", failureName(failure.kind)}});
    this->noteGeneration(failure.generation);
    const bool lost = failure.kind == StoreFailure::Kind::Unreachable || failure.kind == StoreFailure::Kind::Refused;
    if (lost) {
        this->state.watching = false;
    }
    if (lost && !this->isStoreLost()) {
        this->state.storeLostSince = this->state.environment.now();
        LogLine("store-lost")
            .add("call", call)
            .add("reason", failureName(failure.kind))
            .add("detail", failure.detail)
            .warn();
    }
}

bool FleetSync::isStoreLost() const
{
    return this->state.storeLostSince.has_value();
}

Millis FleetSync::backoff(int failures)
{
    const Millis maxDelay = std::min(MaxBackoff, BaseBackoff * (1 << std::min(failures, 5)));
    return Millis(std::int64_t((0.5 + 0.5 * this->state.random()) * double(maxDelay.count())));
}

}
