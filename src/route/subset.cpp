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
    // Neighbours in the order of the hashes form a group, so one name more or less shifts the borders by one place.
    std::vector<std::pair<std::uint64_t, std::string>> ordered;
    ordered.reserve(names.size());
    for (const std::string &name : names) {
        ordered.emplace_back(hash64(name), name);
    }
    std::sort(ordered.begin(), ordered.end());
    std::map<std::string, std::size_t> result;
    for (std::size_t rank = 0; rank < ordered.size(); ++rank) {
        result[ordered[rank].second] = rank * groups / ordered.size();
    }
    return result;
}

}
