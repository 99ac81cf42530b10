#include "cyclamencross/route/storereturn.h"

#include "cyclamencross/route/backendserver.h"

namespace Cyclamen
{

void StoreReturn::begin(TimePoint now, TimePoint settledTime)
{
    this->hasReturnedTwice = this->beganAt && now - *this->beganAt <= MaxCopyAge;
    this->beganAt = now;
    this->settled = settledTime;
}

bool StoreReturn::followsAnother() const
{
    return this->hasReturnedTwice;
}

std::optional<TimePoint> StoreReturn::settledAt(TimePoint now) const
{
    return now < this->settled ? std::optional(this->settled) : std::nullopt;
}

void StoreReturn::recordRemoval(const BackendServer &server, TimePoint now)
{
    if (this->removals.size() >= MaxRemovals) {
        std::erase_if(this->removals, [now](const auto &item) { return now - item.second.time > MaxCopyAge; });
    }
    if (this->removals.size() < MaxRemovals) {
        this->removals[server.id] = Removal{server.startUnixMillis, now};
    }
}

bool StoreReturn::isOlder(const BackendServer &entry, const BackendServer *known, TimePoint now) const
{
    if (!this->settledAt(now)) {
        return false;
    }
    if (known != nullptr) {
        const bool sameStart = entry.startUnixMillis == known->startUnixMillis;
        return entry.startUnixMillis < known->startUnixMillis || (sameStart && known->draining && !entry.draining);
    }
    const auto removal = this->removals.find(entry.id);
    return removal != this->removals.end() && now - removal->second.time <= MaxCopyAge
        && entry.startUnixMillis <= removal->second.startUnixMillis;
}

}
