#pragma once

#include "cyclamencross/base/timing.h"

#include <optional>

namespace Cyclamen
{

class RouterState;
struct RouterRequest;
struct WorkspaceConfig;

/// Takes the cost of one request from the quota of its workspace, and gives it back if the request does not run.
class QuotaAdmission
{
public:
    /// @param workspace of the caller; nullptr if the request needs none.
    QuotaAdmission(RouterState &state, const RouterRequest &request, const WorkspaceConfig *workspace);

    /// Takes the cost of the request. Logs and counts a refusal.
    /// @return std::nullopt if the request may run, else the delay after which the caller should return.
    std::optional<Millis> refuse();
    /// Gives back what refuse() has taken, since no backend server has run the request.
    void giveBack();

private:
    RouterState &state;
    const RouterRequest &request;
    const WorkspaceConfig *workspace;
    double taken = 0;
};

}
