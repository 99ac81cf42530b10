#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// Orders @p candidates by rendezvous hashing for @p key: the first is the preferred one, and removing a candidate
/// changes the order of no other.
std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates);

}
