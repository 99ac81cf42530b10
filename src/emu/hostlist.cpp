#include "hostlist.h"

namespace Cyclamen
{

HostList::HostList(Millis lag)
    : lag(lag)
{
    this->versions.push_back({Clock::now(), {{"version", 0}, {"hosts", nlohmann::json::array()}}});
}

std::uint64_t HostList::set(const nlohmann::json &hosts)
{
    const std::lock_guard lock(this->mutex);
    const std::uint64_t version = this->nextVersion++;
    this->versions.push_back({Clock::now() + this->lag, {{"version", version}, {"hosts", hosts}}});
    return version;
}

nlohmann::json HostList::newestVisibleList()
{
    while (this->versions.size() > 1 && this->versions[1].visibleFrom <= Clock::now()) {
        this->versions.pop_front();
    }
    return this->versions.front().list;
}

nlohmann::json HostList::visibleList()
{
    const std::lock_guard lock(this->mutex);
    return this->frozen ? this->frozenList : this->newestVisibleList();
}

void HostList::freeze(bool enabled)
{
    const std::lock_guard lock(this->mutex);
    this->frozenList = this->newestVisibleList();
    this->frozen = enabled;
}

}
