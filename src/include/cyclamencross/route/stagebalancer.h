#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/stageload.h"

#include <optional>

namespace Cyclamen
{

/// Decides how many engines of a model service should change from prefill to decode or back. This matters on busy days
/// on which one stage limits what can be served while the engines of the other are mostly idle. An engine is away for
/// seconds while it changes, so the balancer averages the load, leaves a reserve and waits after each change. Not
/// thread-safe.
class StageBalancer
{
public:
    /// Time over which the load is averaged. No decision is made before.
    static constexpr Millis AveragingTime{2000};
    /// Requests for each prefill engine that the balancer aims at. In a burst of twice the load, most prompts then
    /// still find an idle engine.
    static constexpr double TargetPrefillUse = 0.35;
    /// Requests for each prefill engine above which prompts queue for so long that more engines are needed.
    static constexpr double MaxPrefillUse = 1.5;
    /// Use of the decode engines below which they need no further engine.
    static constexpr double MinDecodeUse = 0.3;
    /// Use of the decode engines above which none of them can be spared.
    static constexpr double MaxDecodeUse = 0.8;
    /// Share of the prefill engines that may change at once, since the load is known only roughly.
    static constexpr double MaxShareAtOnce = 0.5;

    /// Records the current load. Samples may be taken at any interval below AveragingTime.
    void record(const StageLoad &load, TimePoint now);
    /// Returns the number of engines that should change to decode; negative if engines should change to prefill.
    int enginesToMove() const;
    /// Forgets the recorded load, after a change.
    void reset();

private:
    StageLoad average;
    std::optional<TimePoint> firstSample;
    TimePoint lastSample;
};

}
