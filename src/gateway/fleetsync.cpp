#include "fleetsync.h"

#include "awaiting.h"
#include "memberrecord.h"
#include "routerstate.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Cyclamen
{

namespace
{

// A silence of the store from which entries may have lapsed: shorter than three heartbeats of a backend server.
constexpr Millis LapseSilence{1000};
constexpr Millis HintPeriod{100};

std::string failureName(StoreFailure::Kind kind)
{
    switch (kind) {
    case StoreFailure::Kind::Unreachable:
        return "unreachable";
    case StoreFailure::Kind::Refused:
        return "refused";
    case StoreFailure::Kind::HistoryGone:
        return "history-gone";
    case StoreFailure::Kind::Conflict:
        return "conflict";
    case StoreFailure::Kind::NoLease:
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

boost::asio::awaitable<void> FleetSync::follow(std::string prefix)
{
    int failures = 0;
    while (true) {
        if (this->contact.lost && this->state.backendsKnown) {
            // The renewals show the return of the store; a second caller in each router would only add refused calls.
            co_await this->waitForContact(LostReadPause);
        }
        if (!this->position) {
            this->position = co_await this->load(prefix);
            if (!this->position) {
                co_await sleepFor(this->pause(++failures));
                continue;
            }
            failures = 0;
        }
        if (!this->mustWatch()) {
            this->state.watching = false;
            co_await sleepFor(HintPeriod);
            continue;
        }
        const bool lostBefore = this->contact.lost;
        this->state.watching = !lostBefore;
        const Millis wait = this->state.groupPeers().empty() ? LoneWatchWait : WatchWait;
        const StoreResult<StorePage> result = co_await this->store.watch(prefix, *this->position, wait);
        if (const auto *page = std::get_if<StorePage>(&result)) {
            this->noteAnswer();
            failures = 0;
            const std::uint64_t before = this->state.storeRevision;
            this->applyAll(page->items, page->revision);
            if (!page->items.empty()) {
                this->state.passOnChanges(StoreChanges{before, this->state.storeRevision, false, page->items});
                co_await sleepFor(this->state.isFirstWatcher() ? GatherPause : StandbyGatherPause);
            }
            continue;
        }
        const StoreFailure &failure = std::get<StoreFailure>(result);
        this->noteFailure("watch", failure);
        if (!lostBefore || failure.kind == StoreFailure::Kind::HistoryGone) {
            // A watch that was cut may have passed over changes, so everything is read anew.
            this->position = std::nullopt;
        }
        if (failure.kind == StoreFailure::Kind::HistoryGone) {
            this->noteAnswer();
            continue;
        }
        co_await sleepFor(this->pause(++failures));
    }
}

boost::asio::awaitable<void> FleetSync::catchUp(std::string prefix)
{
    TimePoint inStep = Clock::now();
    while (true) {
        co_await sleepFor(HintPeriod);
        const bool behind = this->state.peersStoreRevision > this->state.storeRevision;
        const bool overdue = behind && Clock::now() - inStep >= CatchUpAfter;
        if (!behind) {
            inStep = Clock::now();
        }
        if (this->contact.reread && !this->state.isChosenWatcher()) {
            co_await sleepFor(WatchersFirst);
        }
        if (!this->mustWatch()) {
            this->contact.reread = false; // The watchers of the group read everything and tell the difference.
        }
        if (!this->position || this->contact.lost || (!overdue && !this->contact.reread)) {
            continue;
        }
        LogLine("catching-up")
            .add("revision", this->state.storeRevision)
            .add("peers_revision", this->state.peersStoreRevision)
            .add("regained", this->contact.reread)
            .write();
        this->contact.reread = false;
        inStep = Clock::now();
        const auto revision = co_await this->load(prefix);
        if (revision) {
            this->position = std::max(this->position.value_or(0), *revision);
            // A peer's number beyond the store's own is of no use.
            this->state.peersStoreRevision = this->state.storeRevision;
            this->store.cancelWatch();
        }
    }
}

boost::asio::awaitable<void> FleetSync::waitForContact(Millis longest)
{
    const TimePoint until = Clock::now() + longest;
    while (this->contact.lost && Clock::now() < until) {
        co_await sleepFor(HintPeriod);
    }
    if (!this->contact.lost && !this->state.isChosenWatcher()) {
        co_await sleepFor(WatchersFirst);
    }
}

void FleetSync::applyAll(const std::vector<StoreItem> &items, std::uint64_t revision)
{
    for (const StoreItem &item : items) {
        this->apply(item);
    }
    if (this->position) {
        this->position = std::max(*this->position, revision);
    }
    if (!items.empty()) {
        this->state.regroup();
    }
}

void FleetSync::applyPeerChanges(const StoreChanges &changes)
{
    // Changes before these may be missing; the peer's newer revision then leads to a read of the store.
    const std::uint64_t known = this->state.storeRevision;
    if (!this->position || known < changes.after || known >= changes.upTo
        || (changes.difference && known != changes.after)) {
        return;
    }
    this->applyAll(changes.items, changes.upTo);
    this->state.storeRevision = std::max(this->state.storeRevision, changes.upTo);
    this->state.metrics.count("cyclamencross_peer_changes_total", {}, double(changes.items.size()));
}

bool FleetSync::mustWatch() const
{
    return this->state.isChosenWatcher() || !this->state.hearsWatcher(Clock::now());
}

boost::asio::awaitable<std::optional<std::uint64_t>> FleetSync::load(std::string prefix)
{
    const StoreResult<StorePage> result = co_await this->store.list(prefix);
    if (const auto *failure = std::get_if<StoreFailure>(&result)) {
        this->noteFailure("list", *failure);
        co_return std::nullopt;
    }
    this->noteAnswer();
    this->contact.reread = false;
    const StorePage &page = std::get<StorePage>(result);
    StoreChanges changes;
    changes.after = this->state.storeRevision;
    changes.upTo = page.revision;
    changes.difference = true;
    const auto applyNew = [&](const std::vector<StoreItem> &items) {
        std::copy_if(items.begin(), items.end(), std::back_inserter(changes.items),
                     [this](const StoreItem &item) { return this->apply(item); });
    };
    applyNew(page.items);
    applyNew(this->missing(prefix, page));
    // The last changes may be removals or replaced ones, of which a list shows no trace. Later pages may hold newer
    // items, but not each change up to them.
    this->state.storeRevision = std::max(changes.after, page.revision);
    this->state.regroup();
    if (changes.after > 0 && changes.upTo > changes.after && this->state.isChosenWatcher()) {
        this->state.passOnChanges(changes);
    }
    if (this->codec.backendPrefix.starts_with(prefix)) {
        this->state.backendsKnown = true;
    }
    co_return page.revision;
}

std::vector<StoreItem> FleetSync::missing(const std::string &prefix, const StorePage &page) const
{
    std::set<std::string> present;
    for (const StoreItem &item : page.items) {
        present.insert(item.key);
    }
    std::vector<StoreItem> result;
    const auto find = [&](const std::string &itsPrefix, const std::map<std::string, std::uint64_t> &known) {
        if (!itsPrefix.starts_with(prefix)) {
            return;
        }
        for (const auto &[key, revision] : known) {
            // What the watch brought after the list was begun is not in it.
            if (!present.contains(itsPrefix + key) && revision <= page.revision) {
                result.push_back(StoreItem{itsPrefix + key, "", page.revision, true});
            }
        }
    };
    find(this->codec.backendPrefix, this->state.backends.revisions());
    find(memberPrefix(), this->state.members.revisions());
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

bool FleetSync::remove(const std::string &key, std::uint64_t revision)
{
    const auto hold = this->holdUntil();
    if (key.starts_with(this->codec.backendPrefix)) {
        const std::string id = key.substr(this->codec.backendPrefix.size());
        const bool known = this->state.backends.find(id) != nullptr;
        if (known) {
            LogLine("backend-removed").add("backend", id).add("held", hold.has_value()).write();
        }
        this->state.backends.remove(id, revision, hold);
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
    this->state.members.remove(name, revision, hold);
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
                co_await sleepFor(this->pause(failures));
            }
            continue;
        }
        // Short steps, so that a registration that others removed is renewed soon.
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
        const StoreResult<std::uint64_t> renewed = co_await this->store.renewLease(this->lease);
        if (const auto *failure = std::get_if<StoreFailure>(&renewed)) {
            this->noteFailure("renew", *failure);
            if (failure->kind == StoreFailure::Kind::NoLease) {
                this->registered = false;
            } else {
                co_await sleepFor(this->pause(++failures));
            }
        } else {
            failures = 0;
            this->noteAnswer();
        }
    }
}

boost::asio::awaitable<bool> FleetSync::registerOnce()
{
    const Millis lifetime = std::max(LeaseLifetime, this->state.settings.minLeaseLifetime);
    const StoreResult<std::uint64_t> granted = co_await this->store.grantLease(lifetime);
    if (const auto *failure = std::get_if<StoreFailure>(&granted)) {
        this->noteFailure("lease", *failure);
        co_return false;
    }
    this->lease = std::get<std::uint64_t>(granted);
    const RouterSettings &settings = this->state.settings;
    const RouterMember member{settings.name, this->state.incarnation, settings.zone, settings.callerAddress,
                              settings.peerAddress};
    const StoreResult<std::uint64_t> written =
        co_await this->store.write(memberPrefix() + settings.name, encodeMember(member), this->lease);
    if (const auto *failure = std::get_if<StoreFailure>(&written)) {
        this->noteFailure("register", *failure);
        co_return false;
    }
    this->noteAnswer();
    this->registered = true;
    this->state.members.put(settings.name, member, std::get<std::uint64_t>(written));
    this->state.regroup();
    LogLine("registered").add("lease", this->lease).add("revision", std::get<std::uint64_t>(written)).write();
    co_return true;
}

boost::asio::awaitable<void> FleetSync::withdraw()
{
    if (this->lease == 0) {
        co_return;
    }
    const StoreResult<std::uint64_t> ended = co_await this->store.endLease(this->lease);
    if (const auto *failure = std::get_if<StoreFailure>(&ended)) {
        this->noteFailure("end-lease", *failure);
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

void FleetSync::noteAnswer()
{
    const TimePoint now = Clock::now();
    if (this->contact.lost) {
        this->contact.lost = false;
        if (now - this->contact.last > LapseSilence) {
            this->contact.regained = now;
        }
        this->contact.reread = true;
        LogLine("store-regained").add("silent_ms", std::int64_t(toSeconds(now - this->contact.last) * 1000)).write();
    }
    this->contact.last = now;
}

void FleetSync::noteFailure(const std::string &call, const StoreFailure &failure)
{
    this->state.metrics.count("cyclamencross_store_failures_total",
                              {{"call", call}, {"reason", failureName(failure.kind)}});
    const bool silent = failure.kind == StoreFailure::Kind::Unreachable || failure.kind == StoreFailure::Kind::Refused;
    if (silent) {
        this->state.watching = false;
    }
    if (silent && !std::exchange(this->contact.lost, true)) {
        LogLine("store-lost")
            .add("call", call)
            .add("reason", failureName(failure.kind))
            .add("detail", failure.detail)
            .warn();
    }
}

std::optional<TimePoint> FleetSync::holdUntil() const
{
    const TimePoint end = this->contact.regained + LapseHold;
    if (this->contact.regained == TimePoint() || Clock::now() >= end) {
        return std::nullopt;
    }
    return end;
}

Millis FleetSync::pause(int failures)
{
    const Millis longest = std::min(LongestPause, FirstPause * (1 << std::min(failures, 5)));
    return Millis(std::int64_t((0.5 + 0.5 * this->state.random()) * double(longest.count())));
}

}
