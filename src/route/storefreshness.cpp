#include "cyclamencross/route/storefreshness.h"

#include <algorithm>
#include <array>

namespace Cyclamen
{

namespace
{

// Ages at which the primary watcher and its standbys read. Each standby has time for a read and a report before the
// next one begins.
constexpr std::array<Millis, 3> WatcherAges{StoreFreshness::MaxAge, Millis(800), Millis(900)};

}

void StoreFreshness::recordAnswer(TimePoint at)
{
    if (this->lastAnswer && at - *this->lastAnswer >= MinOutage) {
        this->outageEnd = at;
    }
    this->lastAnswer = std::max(this->lastAnswer.value_or(at), at);
}

std::optional<TimePoint> StoreFreshness::outageEndedAt() const
{
    return this->outageEnd;
}

void StoreFreshness::confirm(TimePoint at)
{
    this->knownUntil = std::max(this->knownUntil.value_or(at), at);
}

void StoreFreshness::forgetConfirmations()
{
    this->knownUntil = std::nullopt;
}

std::optional<TimePoint> StoreFreshness::confirmedAt() const
{
    return this->knownUntil;
}

bool StoreFreshness::knowsRevokedKeys(Millis revokeTime, TimePoint now) const
{
    const Millis maxAge = revokeTime - std::min(RevokeMargin, revokeTime / 2);
    return this->knownUntil && now - *this->knownUntil <= maxAge;
}

bool StoreFreshness::isReadDue(std::size_t watcherRank, TimePoint now) const
{
    const Millis limit = watcherRank < WatcherAges.size() ? WatcherAges[watcherRank] : MaxAge;
    return !this->knownUntil || now - *this->knownUntil >= limit;
}

Millis StoreFreshness::watchWait(TimePoint now) const
{
    if (!this->knownUntil) {
        return MinWatchWait;
    }
    const auto age = std::chrono::duration_cast<Millis>(now - *this->knownUntil);
    return std::clamp(WatchWait - age, MinWatchWait, WatchWait);
}

}
