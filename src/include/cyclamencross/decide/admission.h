#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/decide/rankedengine.h"

namespace Cyclamen
{

/// Result of the admission check of a request before its prefill.
struct AdmissionDecision
{
    bool admitted = false;
    Millis expected{0}; ///< Expected time from now until the first output.
    Millis left{0}; ///< Time left until the first-token target, less the safety margin. Negative if it has passed.

    bool operator==(const AdmissionDecision &) const = default;
};

/// Decides whether a request can still meet its first-token target.
/// @param prefill the prefill engine considered, with its expected wait and cost for the request.
/// @param transfer expected time of the KV transfer.
/// @param elapsed time since the request arrived.
/// @param target first-token target of the request.
/// @param wastedPrefillWeight how much a wasted prefill matters, from 0 to 1; at 1 the safety margin is 30% of the
///        target, at 0 there is none.
AdmissionDecision admit(const RankedEngine &prefill, Millis transfer, Millis elapsed, Millis target,
                        double wastedPrefillWeight);

}
