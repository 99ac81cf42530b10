#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <string>

#include <nlohmann/json_fwd.hpp>

namespace Cyclamen
{

/// The prefix cache of an emulated engine. It keeps the most recently used prompts within limited memory, and reports
/// additions and evictions as events, which become visible with a delay and may be lost. Not thread-safe.
class PrefixCache
{
public:
    /// @param eventLoss the share of events that never become visible.
    PrefixCache(std::size_t capacityBytes, Millis eventLag, double eventLoss, std::uint64_t seed);

    /// Returns the length in bytes of the longest prefix of @p prompt that is cached.
    std::size_t cachedBytes(const std::string &prompt) const;
    /// Adds @p prompt to the cache and evicts the least recently used entries if the capacity is exceeded.
    void add(const std::string &prompt);
    /// Returns the visible events with a sequence number of at least @p since, and the sequence number to continue
    /// from.
    nlohmann::json events(std::uint64_t since) const;

private:
    struct Entry
    {
        std::string prefix;
        std::string prompt;
    };
    struct Event
    {
        std::uint64_t sequence = 0;
        bool added = false;
        bool lost = false;
        std::string prefix;
        TimePoint visibleFrom;
    };
    void logEvent(bool added, const std::string &prefix);

    std::size_t capacityBytes;
    Millis eventLag;
    std::bernoulli_distribution lossDistribution;
    std::mt19937_64 random;
    std::list<Entry> entries; ///< Ordered by last use, most recent first.
    std::size_t usedBytes = 0;
    std::deque<Event> eventLog;
    std::uint64_t nextSequence = 1;
};

/// Returns the identifier of the prefix of @p prompt: the hash of its first 256 bytes in hexadecimal.
std::string prefixHash(const std::string &prompt);

}
