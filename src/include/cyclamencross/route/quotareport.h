#pragma once

#include "cyclamencross/route/quotausage.h"

#include <cstdint>
#include <vector>

namespace Cyclamen
{

/// Part of a report between routers: the use of limited workspaces by one router or by several.
struct QuotaReport
{
    std::uint32_t heard = 0; ///< Number of routers that the usage is known of.
    std::vector<QuotaUsage> usage; ///< Of the workspaces whose numbers have changed.

    /// Returns whether the receiver can calculate with the numbers.
    bool isPlausible() const;

    bool operator==(const QuotaReport &) const = default;
};

}
