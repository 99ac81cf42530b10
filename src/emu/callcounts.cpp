#include "callcounts.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

void CallCounts::add(const std::string &path)
{
    const std::lock_guard lock(this->mutex);
    ++this->paths[path];
}

nlohmann::json CallCounts::report() const
{
    const std::lock_guard lock(this->mutex);
    std::uint64_t total = 0;
    for (const auto &[path, count] : this->paths) {
        total += count;
    }
    return {{"total", total}, {"paths", this->paths}};
}

}
