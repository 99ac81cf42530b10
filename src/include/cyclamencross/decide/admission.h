#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/decide/rankedengine.h"

namespace Cyclamen
{

/// What admission decided about a request before its prefill, with the numbers behind it.
struct AdmissionDecision
{
    bool admitted = false;
    Millis expected{0}; ///< Expected time until the first output.
    Millis left{0}; ///< What was left of the first-token target, less the safety margin.

    bool operator==(const AdmissionDecision &) const = default;
};

/// Decides whether a request can still meet its first-token target.
/// @param prefill the prefill engine considered.
/// @param transfer expected time of the KV transfer.
/// @param elapsed time since the request arrived.
/// @param target first-token target of the request.
/// @param wastedPrefillWeight 0 to 1; the larger, the more of the target is kept as safety margin (up to 30%).
AdmissionDecision admit(const RankedEngine &prefill, Millis transfer, Millis elapsed, Millis target,
                        double wastedPrefillWeight);

}
