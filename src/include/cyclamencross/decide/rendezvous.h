#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// Orders @p candidates by rendezvous hashing for @p key: the first is the preferred one, and removing a candidate
/// changes the order of no other.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates);

/// Returns the weight of @p candidate under a key with @p keyHash, which is hash64 of the key. The largest weight comes
/// first; of equal weights, the lesser name.
std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::string_view candidate);

}
