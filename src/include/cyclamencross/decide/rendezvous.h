#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// Orders @p candidates by rendezvous hashing for @p key, most preferred first. Removing a candidate does not change
/// the order of the others.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates);

/// Returns the weight of @p candidate for a key. Candidates are ordered by descending weight, those of equal weight by
/// name.
/// @param keyHash hash64 of the key.
std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::string_view candidate);

}
