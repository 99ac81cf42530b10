#pragma once

#include "cyclamencross/base/timing.h"

#include <map>
#include <string>

namespace Cyclamen
{

/// Limits how often a router asks engines of other groups for room, because its own group has none. These engines know
/// their load and refuse what exceeds it, but each question costs them and the asking request some time. While they
/// refuse, the pauses between two questions grow. Not thread-safe.
class OverflowPacer
{
public:
    /// Pause after the first refusal: as long as a request that waits for room waits between two tries.
    static constexpr Millis FirstPause{15};
    /// Longest pause. In a burst that fills all groups, a router then asks other groups less than three times a second
    /// for each pool and distance.
    static constexpr Millis MaxPause{400};

    /// Returns whether an engine of @p pool may be asked.
    bool mayAsk(const std::string &pool, TimePoint now) const;
    /// Records the answer of an engine of @p pool.
    void record(const std::string &pool, bool granted, TimePoint now);

private:
    struct Record
    {
        Millis pause{0};
        TimePoint until;
    };
    std::map<std::string, Record> refusals; ///< By pool; only those whose last answer was a refusal.
};

}
