#pragma once

#include <cstdint>

namespace Cyclamen
{

/// What one or several routers report about a workspace.
struct QuotaUsage
{
    std::uint64_t workspace = 0; ///< See WorkspaceQuotas::idOf().
    /// Cost of all admissions of the sender's incarnation less what was given back, modulo 2^32.
    std::uint32_t used = 0;
    float admittedPerSecond = 0; ///< Rate of admissions lately.
    float demandPerSecond = 0; ///< Rate of requests lately, admitted or not.

    /// Returns whether the receiver can calculate with the numbers.
    bool isPlausible() const;

    bool operator==(const QuotaUsage &) const = default;
};

}
