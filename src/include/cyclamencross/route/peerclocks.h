#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Cyclamen
{

/// Bounds how far the boot-time clocks of other routers are behind the one of this router, from the reports that arrive
/// here. A peer that is told the bound converts a time of this router to its own clock without knowing for how long the
/// message was under way: the result is never too late, and too early by the shortest delay of its recent reports.
class PeerClocks
{
public:
    /// How long a measurement counts at least, and half of the time for which it counts at most. Clocks that differ in
    /// speed by 100 ppm drift by 12 ms in twice this time.
    static constexpr Millis Window{60000};

    /// Records the arrival of a report. A new incarnation may run on another host, so it makes earlier ones void.
    /// @param sentAt time of sending on the clock of @p router.
    /// @param receivedAt time of receipt on the clock of this router.
    void record(const std::string &router, std::uint64_t incarnation, Clock::duration sentAt,
                Clock::duration receivedAt);
    /// Returns the smallest difference from sending to receipt: the clock of this router is ahead of that of @p router
    /// by this much at most. std::nullopt if no report of @p incarnation was recorded lately.
    std::optional<Millis> offset(const std::string &router, std::uint64_t incarnation, Clock::duration now) const;

private:
    struct Measurement
    {
        std::uint64_t incarnation = 0;
        Clock::duration windowStart{0};
        Millis current{0}; ///< Smallest difference since `windowStart`.
        std::optional<Millis> previous; ///< The same of the window before.
    };
    std::map<std::string, Measurement> measurements;
};

}
