#pragma once

#include <cstdint>

namespace Cyclamen
{

/// Limit on the work that a workspace may have done by all routers together: a token bucket that is refilled at a
/// constant rate.
struct WorkspaceQuota
{
    /// What the rate and the burst count.
    enum class Unit : std::uint8_t {
        Requests,
        Tokens, ///< Prompt tokens and the largest number of tokens to generate.
    };

    Unit unit = Unit::Requests;
    double ratePerSecond = 0; ///< 0 for no limit.
    double burst = 0; ///< Size of the bucket.
    std::int64_t plainTokens = 0; ///< Cost of a request that states no tokens, if tokens are counted.

    /// Returns whether there is a limit.
    bool isLimited() const;
    /// Returns what a request takes from the bucket.
    /// @param tokens prompt tokens and the largest number of tokens to generate; 0 if the request states none.
    double cost(std::int64_t tokens) const;

    bool operator==(const WorkspaceQuota &) const = default;
};

}
