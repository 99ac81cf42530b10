#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace Cyclamen
{

/// One revision of the fleet configuration that this process has had in force.
struct ConfigRevision
{
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
    std::int64_t seenUnixTime = 0; ///< When this process accepted it, in seconds.
    std::string text;

    bool operator==(const ConfigRevision &) const = default;
};

/// The newest revisions that this process has seen, for operators who compare or trace changes. It ends with the
/// process; the permanent state is in the key-value service. Thread-safe.
class ConfigHistory
{
public:
    /// @param maxEntries how many revisions are kept.
    /// @param maxBytes how much text they may hold together; the newest is always kept.
    ConfigHistory(std::size_t maxEntries, std::size_t maxBytes);

    /// Adds @p revision unless it is not greater than the newest one.
    void note(ConfigRevision revision);
    /// Returns the newest revision number, 0 if there is none.
    std::uint64_t newest() const;
    /// Returns the kept revisions, oldest first.
    std::vector<ConfigRevision> revisions() const;

private:
    mutable std::mutex mutex;
    std::size_t maxEntries;
    std::size_t maxBytes;
    std::size_t bytes = 0;
    std::deque<ConfigRevision> kept;
};

}
