#pragma once

#include "cyclamencross/route/workspacequota.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// Configuration of a workspace. Its API keys are not part of it; see RouteTable::workspaceOfKey().
struct WorkspaceConfig
{
    std::string name;
    std::optional<int> priority; ///< Takes precedence over the priority of the route; 0 is the most urgent.
    WorkspaceQuota quota;

    bool operator==(const WorkspaceConfig &) const = default;
};

}
