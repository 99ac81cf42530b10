#include "cyclamencross/decide/outlierejection.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Cyclamen
{

void OutlierEjection::success(const std::string &backend)
{
    const auto it = this->records.find(backend);
    if (it != this->records.end()) {
        // The answer may belong to a request sent before the ejection, so a current ejection continues.
        it->second.failures = 0;
        it->second.ejections = 0;
    }
}

void OutlierEjection::failure(const std::string &backend, TimePoint now)
{
    Record &record = this->records[backend];
    if (now < record.ejectedUntil || ++record.failures < FailuresToEject) {
        return;
    }
    Millis duration = BaseEjectionTime;
    for (int i = 0; i < record.ejections && duration < MaxEjectionTime; ++i) {
        duration *= 2;
    }
    record.ejectedUntil = now + std::min(duration, MaxEjectionTime);
    record.failures = 0;
    ++record.ejections;
}

std::vector<std::string> OutlierEjection::filter(const std::vector<std::string> &pool, TimePoint now) const
{
    std::vector<std::pair<TimePoint, std::string>> ejected;
    for (const std::string &backend : pool) {
        const auto it = this->records.find(backend);
        if (it != this->records.end() && now < it->second.ejectedUntil) {
            ejected.emplace_back(it->second.ejectedUntil, backend);
        }
    }
    // If too many are ejected, exclude those with the longest time left: they are the least likely to have recovered.
    std::sort(ejected.rbegin(), ejected.rend());
    const auto maxEjected = static_cast<std::size_t>(MaxEjectedShare * static_cast<double>(pool.size()));
    ejected.resize(std::min(ejected.size(), maxEjected));
    std::set<std::string> excluded;
    for (const auto &[ejectedUntil, backend] : ejected) {
        excluded.insert(backend);
    }
    std::vector<std::string> remaining;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(remaining),
                 [&excluded](const std::string &backend) { return !excluded.contains(backend); });
    return remaining;
}

}
