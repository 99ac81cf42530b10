#pragma once

#include "cyclamencross/base/timing.h"

#include <optional>

namespace Cyclamen
{

/// Knows for how long a store that has returned from an older copy is incomplete: it lacks what was written after the
/// copy was taken, until the writers write it again. Not thread-safe.
class StoreReturn
{
public:
    /// Records that the store has returned.
    /// @param settled when all writers have written again what was lost.
    void begin(TimePoint settled);
    /// Returns until when entries count that the store lacks; std::nullopt if it has not returned lately.
    std::optional<TimePoint> settledAt(TimePoint now) const;

private:
    TimePoint settled;
};

}
