#pragma once

#include "cyclamencross/base/backend.h"
#include "cyclamencross/base/member.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Orders the entries that may own @p engine: available members of its availability zone first, then of any other,
/// each group by rendezvous hash of the engine's address. The first is the owner, the next takes over from it.
std::vector<Member> ownerOrder(const Backend &engine, const std::vector<Member> &members);

/// Returns the first @p count of ownerOrder() without copying or sorting the rest, for use on each request.
/// @return pointers into @p members.
std::vector<const Member *> firstOwners(const Backend &engine, const std::vector<Member> &members, std::size_t count);

/// Returns those of @p engines whose owner is @p name.
std::vector<Backend> ownedEngines(const std::string &name, const std::vector<Backend> &engines,
                                  const std::vector<Member> &members);

}
