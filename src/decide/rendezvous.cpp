#include "cyclamencross/decide/rendezvous.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Cyclamen
{

std::uint64_t rendezvousWeight(std::uint64_t keyHash, std::string_view candidate)
{
    return hash64(candidate, keyHash);
}

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates)
{
    const std::uint64_t seed = hash64(key);
    // Each weight is computed once: with 670 entries, hashing in the comparison takes ten times as many hashes.
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(candidates.size());
    for (std::string &candidate : candidates) {
        const std::uint64_t weight = rendezvousWeight(seed, candidate);
        weighted.emplace_back(weight, std::move(candidate));
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    for (std::size_t i = 0; i < weighted.size(); ++i) {
        candidates[i] = std::move(weighted[i].second);
    }
    return candidates;
}

}
