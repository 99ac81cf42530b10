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

/// The prefix cache of a stand-in engine: remembers the prompts used last, within limited memory, and reports what it
/// added and evicted as events that come late and with gaps. Not thread-safe.
class PrefixCache
{
public:
    PrefixCache(std::size_t capacity, Millis eventLag, double eventLoss, std::uint64_t seed);

    /// Returns how many leading bytes of @p prompt are cached.
    std::size_t cachedBytes(const std::string &prompt) const;
    /// Puts @p prompt into the cache, and evicts the entries used longest ago if memory runs out.
    void add(const std::string &prompt);
    /// Returns the visible events from sequence @p since on, and the next sequence.
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
        TimePoint visible;
    };
    void report(bool added, const std::string &prefix);

    std::size_t capacity;
    Millis eventLag;
    std::bernoulli_distribution lost;
    std::mt19937_64 random;
    std::list<Entry> entries; ///< Used last comes first.
    std::size_t used = 0;
    std::deque<Event> log;
    std::uint64_t nextSequence = 1;
};

/// Returns the name of the prefix of @p prompt: the hash of its first 256 bytes in hexadecimal.
std::string prefixOf(const std::string &prompt);

}
