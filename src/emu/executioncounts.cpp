#include "executioncounts.h"

#include <nlohmann/json.hpp>

namespace Cyclamen
{

std::uint64_t ExecutionCounts::add(const std::string &method, const std::string &path, const std::string &key)
{
    const std::lock_guard lock(this->mutex);
    ++this->total;
    const std::uint64_t onPath = ++this->paths[method + " " + path];
    return key.empty() ? onPath : ++this->keys[key];
}

nlohmann::json ExecutionCounts::report() const
{
    const std::lock_guard lock(this->mutex);
    return {{"total", this->total}, {"paths", this->paths}, {"keys", this->keys}};
}

}
