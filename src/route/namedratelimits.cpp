#include "cyclamencross/route/namedratelimits.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Cyclamen
{

namespace
{

constexpr double NoLimit = std::numeric_limits<double>::infinity();

// Spreads the bits of a number that is the combination of hashes (the finalizer of MurmurHash3).
std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xFF51AFD7ED558CCDULL;
    value ^= value >> 33U;
    value *= 0xC4CEB9FE1A85EC53ULL;
    return value ^ (value >> 33U);
}

}

NamedRateLimits::NamedRateLimits(std::uint64_t ownHash, RoutersHook routers, ChangeHook onChange)
    : ownHash(ownHash)
    , routers(std::move(routers))
    , onChange(std::move(onChange))
{
}

void NamedRateLimits::record(const std::string &backend, double requestsPerSecond, TimePoint answeredAt)
{
    const auto known = this->limits.find(backend);
    if (known == this->limits.end() && requestsPerSecond == NoLimit) {
        return;
    }
    if (known != this->limits.end() && answeredAt < known->second.answeredAt) {
        return;
    }
    const double before = known == this->limits.end() ? NoLimit : known->second.requestsPerSecond;
    Limit &limit = this->limits[backend];
    limit.answeredAt = answeredAt;
    limit.requestsPerSecond = requestsPerSecond;
    const double rate = std::max(MinRequestsPerSecond, requestsPerSecond);
    if (requestsPerSecond == NoLimit) {
        limit.requests.clear();
        limit.lastSlot = -1;
    } else if (before == NoLimit || rate < KeptRateShare * limit.rightsRate) {
        limit.requests.clear();
        limit.lowering = ++this->loweringCount;
        limit.rightsRate = rate;
    } else {
        limit.rightsRate = std::max(limit.rightsRate, rate);
    }
    if (requestsPerSecond != before) {
        this->onChange(backend, requestsPerSecond, before);
    }
}

bool NamedRateLimits::isKnown(const std::string &backend) const
{
    return this->limits.contains(backend);
}

std::size_t NamedRateLimits::count() const
{
    return std::size_t(std::count_if(this->limits.begin(), this->limits.end(),
                                     [](const auto &item) { return item.second.requestsPerSecond != NoLimit; }));
}

void NamedRateLimits::advance(TimePoint now, std::int64_t unixMillis)
{
    std::erase_if(this->limits, [now](const auto &item) {
        return item.second.requestsPerSecond == NoLimit && now - item.second.answeredAt > EndLifetime;
    });
    const std::int64_t current = unixMillis / SlotTime.count();
    for (auto &[backend, limit] : this->limits) {
        if (limit.requestsPerSecond == NoLimit) {
            continue;
        }
        while (!limit.requests.empty() && limit.requests.front() <= now) {
            limit.requests.pop_front();
        }
        const double rate = std::max(MinRequestsPerSecond, limit.requestsPerSecond);
        const double perSlot = rate * toSeconds(SlotTime);
        const Millis burstTime{std::int64_t(BurstRequests / rate * 1000)};
        const Millis lifetime = std::min(MaxSlotLifetime, SlotLifetime + burstTime);
        std::int64_t slot = std::max(limit.lastSlot, current - lifetime / SlotTime);
        limit.lastSlot = current; // Also after the clock was set back.
        while (slot < current) {
            ++slot;
            // Evenly distributes the requests of the rate over the slots.
            const double requests = std::floor(double(slot + 1) * perSlot) - std::floor(double(slot) * perSlot);
            if (requests >= 1 && this->isOwnSlot(backend, slot)) {
                const TimePoint expiry = now + lifetime - (current - slot) * SlotTime;
                const auto at = std::upper_bound(limit.requests.begin(), limit.requests.end(), expiry);
                limit.requests.insert(at, std::size_t(requests), expiry);
            }
        }
    }
}

bool NamedRateLimits::mayRequest(const std::string &backend) const
{
    const auto known = this->limits.find(backend);
    return known == this->limits.end() || known->second.requestsPerSecond == NoLimit || !known->second.requests.empty();
}

RequestRight NamedRateLimits::take(const std::string &backend)
{
    const auto known = this->limits.find(backend);
    if (known == this->limits.end() || known->second.requests.empty()) {
        return RequestRight();
    }
    const RequestRight right{known->second.requests.front(), known->second.lowering};
    known->second.requests.pop_front();
    return right;
}

bool NamedRateLimits::isValid(const std::string &backend, const RequestRight &right) const
{
    const auto known = this->limits.find(backend);
    return known == this->limits.end() || known->second.requestsPerSecond == NoLimit
        || known->second.lowering == right.lowering;
}

void NamedRateLimits::giveBack(const std::string &backend, const RequestRight &right)
{
    const auto known = this->limits.find(backend);
    const bool isLimited = known != this->limits.end() && known->second.requestsPerSecond != NoLimit;
    if (isLimited && right.expiry != TimePoint() && this->isValid(backend, right)) {
        auto &requests = known->second.requests;
        requests.insert(std::upper_bound(requests.begin(), requests.end(), right.expiry), right.expiry);
    }
}

void NamedRateLimits::retain(const std::function<bool(const std::string &backend)> &isStated)
{
    std::erase_if(this->limits, [&isStated](const auto &item) { return !isStated(item.first); });
}

void NamedRateLimits::forget(const std::string &backend)
{
    this->limits.erase(backend);
}

bool NamedRateLimits::isOwnSlot(const std::string &backend, std::int64_t slot) const
{
    const std::uint64_t slotHash = mixBits(hash64(backend) + std::uint64_t(slot));
    const std::uint64_t own = mixBits(slotHash ^ this->ownHash);
    bool isIncluded = false;
    for (const std::uint64_t router : this->routers(backend)) {
        isIncluded = isIncluded || router == this->ownHash;
        if (mixBits(slotHash ^ router) > own) {
            return false;
        }
    }
    return isIncluded;
}

}
