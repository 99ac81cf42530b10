#include "prefixcache.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>
#include <string_view>

#include <nlohmann/json.hpp>

namespace Cyclamen
{

namespace
{

constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t MaxEvents = 1024;

}

std::string prefixHash(const std::string &prompt)
{
    return toHex(hash64(std::string_view(prompt).substr(0, PrefixBytes)));
}

PrefixCache::PrefixCache(std::size_t capacityBytes, Millis eventLag, double eventLoss, std::uint64_t seed)
    : capacityBytes(capacityBytes)
    , eventLag(eventLag)
    , lossDistribution(eventLoss)
    , random(seed)
{
}

std::size_t PrefixCache::cachedBytes(const std::string &prompt) const
{
    const std::string prefix = prefixHash(prompt);
    const auto found = std::ranges::find(this->entries, prefix, &Entry::prefix);
    if (found == this->entries.end()) {
        return 0;
    }
    const auto firstDifference = std::ranges::mismatch(found->prompt, prompt);
    return static_cast<std::size_t>(firstDifference.in2 - prompt.begin());
}

void PrefixCache::add(const std::string &prompt)
{
    const std::string prefix = prefixHash(prompt);
    const auto found = std::ranges::find(this->entries, prefix, &Entry::prefix);
    if (found != this->entries.end()) {
        this->usedBytes -= found->prompt.size();
        this->entries.erase(found);
    } else {
        this->logEvent(true, prefix);
    }
    this->entries.push_front({prefix, prompt});
    this->usedBytes += prompt.size();
    while (this->usedBytes > this->capacityBytes) {
        this->usedBytes -= this->entries.back().prompt.size();
        this->logEvent(false, this->entries.back().prefix);
        this->entries.pop_back();
    }
}

void PrefixCache::logEvent(bool added, const std::string &prefix)
{
    const bool isLost = this->lossDistribution(this->random);
    this->eventLog.push_back({this->nextSequence++, added, isLost, prefix, Clock::now() + this->eventLag});
    if (this->eventLog.size() > MaxEvents) {
        this->eventLog.pop_front();
    }
}

nlohmann::json PrefixCache::events(std::uint64_t since) const
{
    nlohmann::json list = nlohmann::json::array();
    std::uint64_t next = this->eventLog.empty() ? this->nextSequence : this->eventLog.front().sequence;
    for (const Event &event : this->eventLog) {
        if (event.visibleFrom > Clock::now()) {
            break;
        }
        next = event.sequence + 1;
        if (event.sequence >= since && !event.lost) {
            list.push_back({{"seq", event.sequence}, {"op", event.added ? "add" : "evict"}, {"prefix", event.prefix}});
        }
    }
    return {{"next", next}, {"events", list}};
}

}
