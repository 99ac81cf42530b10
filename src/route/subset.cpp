#include "cyclamencross/route/subset.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>
#include <cstdint>

namespace Cyclamen
{

std::size_t Subset::groupCount(std::size_t routers)
{
    return std::max<std::size_t>(1, (routers + MaxGroupSize - 1) / MaxGroupSize);
}

std::map<std::string, std::size_t> Subset::divide(const std::vector<std::string> &names, std::size_t groups)
{
    // Names that follow one another in the order of their hashes form a group. Adding or removing a name shifts the
    // borders between groups by at most one name.
    std::vector<std::pair<std::uint64_t, std::string>> namesByHash;
    namesByHash.reserve(names.size());
    for (const std::string &name : names) {
        namesByHash.emplace_back(hash64(name), name);
    }
    std::sort(namesByHash.begin(), namesByHash.end());
    std::map<std::string, std::size_t> result;
    for (std::size_t rank = 0; rank < namesByHash.size(); ++rank) {
        result[namesByHash[rank].second] = rank * groups / namesByHash.size();
    }
    return result;
}

}
