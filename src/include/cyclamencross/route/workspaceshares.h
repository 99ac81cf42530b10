#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Cyclamen
{

/// Decides which workspaces use more than their share of a service while room is short.
namespace WorkspaceShares
{

/// Use above the mean of the active workspaces up to which a workspace counts as within its share. Below 2, so that one
/// of two workspaces can exceed its share.
constexpr double Tolerance = 1.25;
/// Workspaces of which one router reports the work, those with the most; bounds the size of a report.
constexpr std::size_t MaxReported = 12;

/// Returns whether @p workspace has more work in progress than its even share.
/// @param tokens expected work in progress at all routers of the group, by active workspace.
bool isOverShare(const std::map<std::string, std::int64_t> &tokens, const std::string &workspace);

}

}
