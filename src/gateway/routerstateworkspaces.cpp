// The part of RouterState that concerns workspaces.

#include "routerstate.h"

namespace Cyclamen
{

bool RouterState::mayTrustKeys(TimePoint now) const
{
    return !this->settings.strictRevoke || this->freshness.knowsRevokedKeys(this->settings.revokeTime, now);
}

void RouterState::countForWorkspace(const std::string &metric, const std::string &workspace, Metrics::Labels labels)
{
    labels["workspace"] = workspace.empty() ? std::string() : this->workspaceLabels.use(workspace);
    for (const std::string &withdrawn : this->workspaceLabels.takeWithdrawn()) {
        this->metrics.removeCounters("workspace", withdrawn);
    }
    this->metrics.count(metric, labels);
}

}
