// The part of FleetSync for a store that returns from an older copy of itself, see docs/design/store-returns.md.

#include "fleetsync.h"
#include "routerstate.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>

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
    if (hasReturned) {
        this->beginReturn();
    }
}

void FleetSync::beginReturn()
{
    const TimePoint now = this->state.environment.now();
    this->state.hasStoreReturned = true;
    this->state.metrics.count("cyclamencross_store_returns_total");
    this->storeReturn.begin(now + LapseGracePeriod);
}

bool FleetSync::isOfCurrentGeneration(std::uint64_t generation) const
{
    return generation >= this->state.storeGeneration;
}

std::optional<TimePoint> FleetSync::keepUntil(bool isAbsence) const
{
    const TimePoint now = this->state.environment.now();
    std::optional<TimePoint> until;
    if (const auto outageEnd = this->state.freshness.outageEndedAt(); outageEnd) {
        until = *outageEnd + LapseGracePeriod;
    }
    if (isAbsence && this->state.hasStoreReturned) {
        until = std::max(until, this->storeReturn.settledAt(now));
    }
    return until && now < *until ? until : std::nullopt;
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

}
