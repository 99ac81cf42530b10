#include "cyclamencross/decide/admission.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

namespace
{

// Largest share of the target that is kept as safety margin.
constexpr double MaxMarginShare = 0.3;
// Keeps extreme estimates, such as those for an engine with almost no prefill speed, within the range of Millis.
constexpr double MaxEstimateMs = 3600000;

}

AdmissionDecision admit(const RankedEngine &prefill, Millis transfer, Millis elapsed, Millis target,
                        double wastedPrefillWeight)
{
    const double prefillMs = std::clamp(prefill.expectedWaitMs + prefill.costMs, 0.0, MaxEstimateMs);
    const double marginShare = MaxMarginShare * std::clamp(wastedPrefillWeight, 0.0, 1.0);
    AdmissionDecision decision;
    decision.expected = Millis(std::llround(std::ceil(prefillMs))) + transfer;
    decision.left = Millis(std::llround(std::floor(static_cast<double>(target.count()) * (1 - marginShare)))) - elapsed;
    decision.admitted = decision.expected <= decision.left;
    return decision;
}

}
