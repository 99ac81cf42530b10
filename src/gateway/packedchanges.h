#pragma once

#include <cstddef>
#include <string>

namespace Cyclamen
{

struct StoreChanges;

/// Largest packed changes that fit into a report, and so into a datagram, beside everything else.
constexpr std::size_t MaxPackedBytes = 40000;

/// Encodes and compresses changes. Configurations, which repeat the same field names, shrink to about a fifth.
std::string packChanges(const StoreChanges &changes);
/// Decodes changes. @p changes is unspecified on failure.
/// @return whether @p bytes are exactly one packed list of changes, which is no larger than any router packs.
bool unpackChanges(const std::string &bytes, StoreChanges &changes);

}
