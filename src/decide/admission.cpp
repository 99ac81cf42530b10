#include "cyclamencross/decide/admission.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

namespace
{

constexpr double LargestMargin = 0.3;
// Keeps a hopeless estimate, such as that of an engine without speed, inside the range of Millis.
constexpr double LongestEstimateMs = 3600000;

}

AdmissionDecision admit(const RankedEngine &prefill, Millis transfer, Millis elapsed, Millis target,
                        double wastedPrefillWeight)
{
    const double ownMs = std::clamp(prefill.expectedWaitMs + prefill.costMs, 0.0, LongestEstimateMs);
    const double margin = LargestMargin * std::clamp(wastedPrefillWeight, 0.0, 1.0);
    AdmissionDecision decision;
    decision.expected = Millis(std::llround(std::ceil(ownMs))) + transfer;
    decision.left = Millis(std::llround(std::floor(static_cast<double>(target.count()) * (1 - margin)))) - elapsed;
    decision.admitted = decision.expected <= decision.left;
    return decision;
}

}
