#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Cyclamen
{

struct BackendServer;

/// Decides which entries of backend servers count while a store that has returned from an older copy is incomplete: for
/// a while it lacks what was written after the copy was taken, and holds what was removed or replaced. Their writers
/// write it again. Not thread-safe.
class StoreReturn
{
public:
    /// Age up to which a copy is expected, and so how long removals are remembered.
    static constexpr Millis MaxCopyAge{60000};
    /// Removals that are remembered at a time.
    static constexpr std::size_t MaxRemovals = 10000;

    /// Records that the store has returned.
    /// @param now when this router learned of it.
    /// @param settled when all writers have written again what was lost.
    void begin(TimePoint now, TimePoint settled);
    /// Returns whether the return before the last one was so recent that the copy may be older than that one.
    bool followsAnother() const;
    /// Returns until when entries count that the store lacks; std::nullopt if it has not returned lately.
    std::optional<TimePoint> settledAt(TimePoint now) const;
    /// Records that the entry of a backend server was removed.
    void recordRemoval(const BackendServer &server, TimePoint now);
    /// Returns whether an entry is to be left out until settledAt(), since it is older than what is known of the
    /// server: an earlier start of it, one that does not say that it leaves, or one that was removed.
    /// @param known the known entry; nullptr if there is none.
    bool isOlder(const BackendServer &entry, const BackendServer *known, TimePoint now) const;

private:
    struct Removal
    {
        std::int64_t startUnixMillis = 0;
        TimePoint time;
    };
    std::optional<TimePoint> beganAt; ///< Of the last return.
    bool hasReturnedTwice = false; ///< The return before it was within MaxCopyAge.
    TimePoint settled;
    std::map<std::string, Removal> removals; ///< By id of the backend server.
};

}
