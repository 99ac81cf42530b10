#pragma once

#include "cyclamencross/base/backend.h"
#include "cyclamencross/base/member.h"

#include <vector>

namespace Cyclamen
{

/// Orders the entries that may own @p engine: available members of its availability zone first, then of any other,
/// each group by rendezvous hash of the engine's address. The first is the owner, the next takes over from it.
std::vector<Member> ownerOrder(const Backend &engine, const std::vector<Member> &members);

}
