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

/// Which engine last prefilled a prompt prefix. Hints only: they may be late or wrong. Bounded; the hint that was
/// written longest ago is dropped first. Thread-safe.
class PrefixHints
{
public:
    /// About 200 bytes each, so 4 MB in all.
    static constexpr std::size_t MaxHints = 20000;

    explicit PrefixHints(std::size_t limit = MaxHints);

    void note(const std::string &prefix, const std::string &engine);
    std::optional<std::string> find(const std::string &prefix) const;
    /// Applies what an engine reported since the sequence that nextSequence() returned. After a gap, the engine's
    /// hints are dropped first, since any of them may have been evicted unseen.
    /// @return whether there was a gap.
    bool apply(const std::string &engine, const CacheEvents &reply);
    /// Returns the sequence to ask the engine for; 0 at first.
    std::uint64_t nextSequence(const std::string &engine) const;
    /// Drops what is known of an engine that this entry no longer reads.
    void forget(const std::string &engine);
    std::size_t size() const;

private:
    struct Hint
    {
        std::string prefix;
        std::string engine;
    };
    void noteLocked(const std::string &prefix, const std::string &engine);
    void dropLocked(const std::string &engine);

    mutable std::mutex mutex;
    std::size_t limit;
    std::list<Hint> hints; // newest first
    std::unordered_map<std::string, std::list<Hint>::iterator> byPrefix;
    std::map<std::string, std::uint64_t> next;
};

}
