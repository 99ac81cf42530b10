#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The state of a limited workspace at one router, for metrics.
struct WorkspaceQuotaState
{
    std::string workspace;
    double used = 0; ///< Cost of all admissions of this router.
    double ratePerSecond = 0; ///< Limit.
    double level = 0; ///< Estimate of the global bucket.
    double demandPerSecond = 0; ///< Rate of requests at this router.
    std::int64_t refused = 0; ///< Requests that this router refused.

    bool operator==(const WorkspaceQuotaState &) const = default;
};

}
