#pragma once

#include "cyclamencross/base/member.h"

#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Chooses the entry that a caller should use: rendezvous hash of workspace and session over the live, non-draining
/// members of @p region, passing over members with more than 1.25 times the mean load. Any region serves if this
/// one has no member.
/// @return nothing if no member is live.
std::optional<Member> chooseEntry(const std::string &workspace, const std::string &session, const std::string &region,
                                  const std::vector<Member> &members);

}
