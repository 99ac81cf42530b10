#pragma once

#include "cyclamencross/base/metrics.h"
#include "cyclamencross/route/workspacequotas.h"

#include <set>
#include <string>

namespace Cyclamen
{

/// Publishes the state of the busiest limited workspaces as metrics, and the sums of all others.
class QuotaMetrics
{
public:
    /// Number of workspaces with metrics of their own.
    static constexpr std::size_t MaxWorkspaces = 16;
    /// Shortest time between two updates: sorting the workspaces costs time.
    static constexpr Millis Period{1000};

    /// Updates the metrics if the last update is older than Period.
    void publish(WorkspaceQuotas &quotas, Metrics &metrics, TimePoint now);

private:
    std::set<std::string> published; ///< Workspaces that have metrics.
    TimePoint last;
};

}
