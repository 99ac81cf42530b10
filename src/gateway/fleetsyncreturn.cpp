// The part of FleetSync for a store that returns from an older copy of itself, see docs/design/store-returns.md.

#include "fleetsync.h"
#include "routerstate.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

void FleetSync::noteGeneration(std::uint64_t newest)
{
    const std::uint64_t before = this->state.storeGeneration;
    if (newest <= before) {
        return; // The answer was overtaken by another one, or names no generation.
    }
    const bool hasReturned = before != 0 || this->state.storeRevision != StoreRevision();
    LogLine line("store-generation");
    line.add("generation", newest)
        .add("before", before)
        .add("returned", hasReturned)
        .add("revision", this->state.storeRevision.number());
    hasReturned ? line.warn() : line.write();
    this->state.metrics.set("cyclamencross_store_generation", double(newest));
    this->state.storeGeneration = newest;
    this->state.storeGenerationSince = this->state.environment.now();
    this->state.lowestGeneration =
        std::min(this->state.lowestGeneration.value_or(newest), hasReturned ? before : newest);
    if (hasReturned) {
        this->beginReturn();
    }
}

void FleetSync::beginReturn()
{
    const TimePoint now = this->state.environment.now();
    this->state.hasStoreReturned = true;
    this->state.forgetUnnamedCertainty();
    const auto unknown = this->state.certaintyAge();
    this->noticedReturnInTime = unknown && *unknown <= LeaseTrust + this->state.settings.orderPause;
    this->state.metrics.count("cyclamencross_store_returns_total");
    // The writers write again from the return on, which peers may have noticed long before this router.
    const bool wasNamed = this->askedGeneration == this->state.storeGeneration;
    const TimePoint noticed = wasNamed ? std::min(now, this->askedAt) : now;
    this->storeReturn.begin(now, noticed + LapseGracePeriod);
    this->heldItems.clear();
    this->copiedUpTo = StoreRevision();
    // Ids of leases are given out again: a renewal could keep the lease of somebody else, and a record that names this
    // router's lease may not be its own.
    this->registered = false;
    this->state.registrationLease = 0;
    this->originsLease = 0;
    this->state.streamOrigins.markAllUnstored();
    this->state.leadership = Leadership{"", 0, 0, this->state.leadership.revision};
    const Millis spread = this->registrationSpread();
    this->registerAfter = now + Millis(std::int64_t(this->state.random() * double(spread.count())));
    this->membersSettled = noticed + LapseGracePeriod + spread;
}

Millis FleetSync::registrationSpread() const
{
    return std::min(MaxRegistrationSpread, RegistrationInterval * std::int64_t(this->state.members.size()));
}

bool FleetSync::isOfCurrentGeneration(std::uint64_t generation) const
{
    return generation >= this->state.storeGeneration;
}

bool FleetSync::hasSeenGenerationFor(Millis duration) const
{
    const auto since = this->state.storeGenerationSince;
    return !since || this->state.environment.now() - *since >= duration;
}

std::optional<TimePoint> FleetSync::keepUntil(const std::string &key, bool isAbsence) const
{
    const TimePoint now = this->state.environment.now();
    std::optional<TimePoint> until;
    if (const auto outageEnd = this->state.freshness.outageEndedAt(); outageEnd) {
        until = *outageEnd + LapseGracePeriod;
    }
    if (isAbsence && this->state.hasStoreReturned) {
        const bool isMember = key.starts_with(memberPrefix());
        const auto settled = isMember ? std::optional(this->membersSettled) : this->storeReturn.settledAt(now);
        until = std::max(until, settled);
    }
    return until && now < *until ? until : std::nullopt;
}

bool FleetSync::mayBeLost(StoreRevision known, StoreRevision removal) const
{
    const bool isCopied =
        known.generation() == this->copiedUpTo.generation() && known.number() <= this->copiedUpTo.number();
    return known.generation() < removal.generation() && !isCopied;
}

StoreRevision FleetSync::findCopiedUpTo(const StorePage &page) const
{
    if (this->storeReturn.followsAnother()) {
        return {}; // The copy may be older than the return before, and have other changes under the same numbers.
    }
    StoreRevision result(this->state.storeRevision.generation(), 0);
    for (const StoreItem &item : page.items) {
        // An item that was written again under the same number is rare, and costs a sound server the time until it
        // writes its entry again.
        const StoreRevision known = this->knownRevision(item.key);
        if (known.generation() == result.generation() && known.number() == item.revision.number()) {
            result = std::max(result, known);
        }
    }
    return result;
}

bool FleetSync::holdIfOlder(const StoreItem &item, const BackendServer &server)
{
    const auto held = this->heldItems.find(item.key);
    if (held != this->heldItems.end() && item.revision < held->second.revision) {
        return true;
    }
    const BackendServer *known = this->state.backends.find(server.id);
    if (!this->storeReturn.isOlder(server, known, this->state.environment.now())) {
        this->heldItems.erase(item.key);
        return false;
    }
    this->heldItems[item.key] = item;
    LogLine("backend-entry-held")
        .add("backend", server.id)
        .add("known", known != nullptr)
        .add("revision", item.revision.number())
        .write();
    return true;
}

void FleetSync::expire(TimePoint now)
{
    const std::size_t gone = this->state.backends.expire(
        now, [this, now](const BackendServer &server) { this->storeReturn.recordRemoval(server, now); });
    if (gone > 0) {
        LogLine("held-backends-removed").add("count", std::uint64_t(gone)).write();
    }
    bool changed = this->state.members.expire(now) + gone > 0;
    // A removal that came before the end of the return may not be known yet.
    const auto certain = this->state.freshness.confirmedAt();
    if (!this->heldItems.empty() && certain && !this->storeReturn.settledAt(*certain)) {
        for (const auto &[key, item] : std::exchange(this->heldItems, {})) {
            changed = this->apply(item) || changed;
        }
    }
    if (changed) {
        this->state.regroup();
    }
}

}
