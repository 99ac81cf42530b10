#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>

namespace Cyclamen
{

/// Whether a request is within the quota of its workspace, with the numbers behind the decision.
struct QuotaDecision
{
    enum class Verdict : std::uint8_t {
        Unlimited, ///< The workspace has no limit; nothing was taken.
        Admitted, ///< The cost was taken from the bucket.
        Empty, ///< The bucket does not hold the cost.
        Thinned, ///< The bucket is nearly empty and all routers together are asked for more than it is refilled with.
        TooLarge, ///< The cost exceeds what the bucket can ever hold.
    };

    Verdict verdict = Verdict::Unlimited;
    double cost = 0;
    double level = 0; ///< Estimate of the bucket before the request.
    double ratePerSecond = 0; ///< Rate that the routers that are heard may use.
    double demandPerSecond = 0; ///< Rate of requests at all routers that are heard.
    Millis oldestReport{0}; ///< Age of the oldest report that the estimate is based on.
    std::size_t routersHeard = 1; ///< This router and those whose reports are known.
    std::size_t routers = 1; ///< Registered routers.
    Millis retryAfter{0}; ///< Time until there is room, if the request is refused.

    /// Returns whether the request may run.
    bool isAdmitted() const;

    bool operator==(const QuotaDecision &) const = default;
};

}
