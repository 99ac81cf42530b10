#pragma once

#include "cacheevents.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace Cyclamen
{

/// Records which engine last prefilled a prompt prefix. A hint may be outdated or wrong. The number of hints is
/// limited; the least recently written one is dropped first. Thread-safe.
class PrefixHints
{
public:
    /// Default limit; at about 200 bytes per hint this takes 4 MB.
    static constexpr std::size_t MaxHints = 20000;

    explicit PrefixHints(std::size_t limit = MaxHints);

    void record(const std::string &prefix, const std::string &engine);
    std::optional<std::string> find(const std::string &prefix) const;
    /// Applies the cache events of an engine, read from nextSequence() on. If events are missing, the engine's hints
    /// are dropped first, since the missing events may be evictions.
    /// @return whether events are missing.
    bool apply(const std::string &engine, const CacheEvents &reply);
    /// Returns the sequence number from which to read the engine's events; 0 before the first read.
    std::uint64_t nextSequence(const std::string &engine) const;
    /// Drops the sequence number of an engine that this entry no longer polls. Its hints stay.
    void forget(const std::string &engine);
    std::size_t size() const;

private:
    struct Hint
    {
        std::string prefix;
        std::string engine;
    };
    void recordLocked(const std::string &prefix, const std::string &engine);
    void dropLocked(const std::string &engine);

    mutable std::mutex mutex;
    std::size_t limit;
    std::list<Hint> hints; // most recently written first
    std::unordered_map<std::string, std::list<Hint>::iterator> byPrefix;
    std::map<std::string, std::uint64_t> nextSequences;
};

}
