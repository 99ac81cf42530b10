#include "cyclamencross/route/slowdowntracker.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

bool SlowdownTracker::record(const std::string &backend, double factor, TimePoint at, bool isFromPeer)
{
    const Slowdown before = this->find(backend, at);
    const auto known = this->records.find(backend);
    if (known != this->records.end() && at <= known->second.updated) {
        return false;
    }
    const double bounded = std::clamp(factor, MinFactor, MaxFactor);
    const double expected = before.known();
    const double elapsed = known == this->records.end() ? toSeconds(MaxAge) : toSeconds(at - known->second.updated);
    const double gain = std::min(MaxGain, 1 - std::exp(-elapsed / toSeconds(SmoothingTime)));
    this->records[backend] = Record{expected + gain * (bounded - expected), at, isFromPeer};
    return std::abs(bounded - expected) >= NewsThreshold;
}

Slowdown SlowdownTracker::find(const std::string &backend, TimePoint now) const
{
    const auto known = this->records.find(backend);
    if (known == this->records.end() || now - known->second.updated > MaxAge) {
        return Slowdown();
    }
    const auto age = std::max(Clock::duration(0), now - known->second.updated);
    const double trust = std::exp2(-toSeconds(age) / toSeconds(TrustHalfLife));
    return Slowdown{known->second.factor, trust, std::chrono::duration_cast<Millis>(age), known->second.isFromPeer};
}

std::size_t SlowdownTracker::slowCount(TimePoint now) const
{
    return std::size_t(std::count_if(this->records.begin(), this->records.end(), [this, now](const auto &item) {
        return this->find(item.first, now).factor >= SlowThreshold;
    }));
}

void SlowdownTracker::expire(TimePoint now)
{
    std::erase_if(this->records, [now](const auto &item) { return now - item.second.updated > MaxAge; });
}

}
