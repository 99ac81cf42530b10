#pragma once

#include "cyclamencross/base/member.h"

#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Chooses the entry that a caller should use, by rendezvous hashing of workspace and session with bounded loads: among
/// the live, non-draining members of @p region, those with more than 1.25 times the mean load are skipped. Members of
/// all regions are considered if @p region has none.
/// @return nothing if no member is available.
std::optional<Member> chooseEntry(const std::string &workspace, const std::string &session, const std::string &region,
                                  const std::vector<Member> &members);

}
