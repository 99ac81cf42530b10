#pragma once

#include "cyclamencross/base/backend.h"
#include "cyclamencross/base/member.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Returns the entries that may own @p engine in order of preference: available members of its availability zone, then
/// those of other zones, each group ordered by rendezvous hash of the engine's address. The first is the owner; the
/// next one takes over if it fails.
std::vector<Member> ownerOrder(const Backend &engine, const std::vector<Member> &members);

/// Returns the first @p count entries of ownerOrder() without copying or sorting the rest. Cheap enough to be called
/// for each request.
/// @return pointers into @p members.
std::vector<const Member *> firstOwners(const Backend &engine, const std::vector<Member> &members, std::size_t count);

/// Returns the engines in @p engines that the entry @p name owns.
std::vector<Backend> ownedEngines(const std::string &name, const std::vector<Backend> &engines,
                                  const std::vector<Member> &members);

}
