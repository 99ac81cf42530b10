#include "quotametrics.h"

#include <array>
#include <utility>

namespace Cyclamen
{

namespace
{

const std::array<std::pair<const char *, double (*)(const WorkspaceQuotaState &)>, 4> &gauges()
{
    static const std::array<std::pair<const char *, double (*)(const WorkspaceQuotaState &)>, 4> Gauges{{
        {"cyclamencross_quota_used", [](const WorkspaceQuotaState &state) { return state.used; }},
        {"cyclamencross_quota_rate_limit", [](const WorkspaceQuotaState &state) { return state.ratePerSecond; }},
        {"cyclamencross_quota_level", [](const WorkspaceQuotaState &state) { return state.level; }},
        {"cyclamencross_quota_refused", [](const WorkspaceQuotaState &state) { return double(state.refused); }},
    }};
    return Gauges;
}

}

void QuotaMetrics::publish(WorkspaceQuotas &quotas, Metrics &metrics, TimePoint now)
{
    if (now - this->last < Period) {
        return;
    }
    this->last = now;
    std::vector<WorkspaceQuotaState> shown = quotas.states(now);
    if (shown.size() > MaxWorkspaces) {
        WorkspaceQuotaState other{"other", 0, 0, 0, 0, 0};
        for (std::size_t i = MaxWorkspaces; i < shown.size(); ++i) {
            other.used += shown[i].used;
            other.ratePerSecond += shown[i].ratePerSecond;
            other.level += shown[i].level;
            other.refused += shown[i].refused;
        }
        shown.resize(MaxWorkspaces);
        shown.push_back(std::move(other));
    }
    std::set<std::string> before = std::exchange(this->published, {});
    for (const auto &[name, value] : gauges()) {
        for (const WorkspaceQuotaState &state : shown) {
            metrics.set(name, value(state), {{"workspace", state.workspace}});
            this->published.insert(state.workspace);
        }
        for (const std::string &workspace : before) {
            if (!this->published.contains(workspace)) {
                metrics.removeGauge(name, {{"workspace", workspace}});
            }
        }
    }
}

}
