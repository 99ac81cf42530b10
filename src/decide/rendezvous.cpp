#include "cyclamencross/decide/rendezvous.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>

namespace Cyclamen
{

std::vector<std::string> rendezvousOrder(std::string_view key, std::vector<std::string> candidates)
{
    const std::uint64_t seed = hash64(key);
    std::sort(candidates.begin(), candidates.end(), [seed](const std::string &a, const std::string &b) {
        const std::uint64_t weightA = hash64(a, seed);
        const std::uint64_t weightB = hash64(b, seed);
        return weightA != weightB ? weightA > weightB : a < b;
    });
    return candidates;
}

}
