#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/slowdown.h"

#include <cstddef>
#include <map>
#include <string>

namespace Cyclamen
{

/// Tracks what backend servers tell of the pace of their machines, which they share with others. The figures change
/// several times a second, so a single one moves the tracked factor little, and after a moment without news nothing is
/// known any more. Not thread-safe.
class SlowdownTracker
{
public:
    /// Time in which the factor follows two thirds of a change, if there are many answers. Figures that change faster
    /// than the reports between routers travel (0.1 s) average out.
    static constexpr Millis SmoothingTime{120};
    /// Largest part of the difference that a single figure makes up for.
    static constexpr double MaxGain = 0.4;
    /// Half-life of the trust in a factor. A change was seen to last 600 ms, so a figure holds for another 300 ms on
    /// average.
    static constexpr Millis TrustHalfLife{300};
    /// Age from which a factor counts as not known.
    static constexpr Millis MaxAge{1000};
    /// Bounds of the factor. A server that tells less or more is not preferred or avoided beyond them.
    static constexpr double MinFactor = 0.5;
    static constexpr double MaxFactor = 4;
    /// Difference from the tracked factor from which a figure is worth a report to peers.
    static constexpr double NewsThreshold = 0.5;
    /// Factor from which a server counts as slow in the metrics.
    static constexpr double SlowThreshold = 1.5;

    /// Records the figure of one answer. Figures that are older than the newest one of the same server are ignored.
    /// @param factor time for a piece of work relative to the usual time; positive and finite.
    /// @param at when the answer was received.
    /// @param isFromPeer whether another router received it.
    /// @return whether the figure differs so much from the factor tracked before that peers should know it.
    bool record(const std::string &backend, double factor, TimePoint at, bool isFromPeer);
    /// Returns what is known of @p backend.
    Slowdown find(const std::string &backend, TimePoint now) const;
    /// Returns the number of backend servers whose factor is at least SlowThreshold.
    std::size_t slowCount(TimePoint now) const;
    /// Drops the records that are too old to count.
    void expire(TimePoint now);

private:
    struct Record
    {
        double factor = 1;
        TimePoint updated;
        bool isFromPeer = false;
    };
    std::map<std::string, Record> records;
};

}
