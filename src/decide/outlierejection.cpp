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
        // The answer may belong to a request sent before the ejection, so a running ejection stands.
        it->second.failures = 0;
        it->second.ejections = 0;
    }
}

void OutlierEjection::failure(const std::string &backend, TimePoint now)
{
    Record &record = this->records[backend];
    if (now < record.until || ++record.failures < FailuresToEject) {
        return;
    }
    Millis length = FirstEjection;
    for (int i = 0; i < record.ejections && length < LongestEjection; ++i) {
        length *= 2;
    }
    record.until = now + std::min(length, LongestEjection);
    record.failures = 0;
    ++record.ejections;
}

std::vector<std::string> OutlierEjection::filter(const std::vector<std::string> &pool, TimePoint now) const
{
    std::vector<std::pair<TimePoint, std::string>> ejected;
    for (const std::string &backend : pool) {
        const auto it = this->records.find(backend);
        if (it != this->records.end() && now < it->second.until) {
            ejected.emplace_back(it->second.until, backend);
        }
    }
    // Those with the longest time left are the least likely to have recovered.
    std::sort(ejected.rbegin(), ejected.rend());
    const auto largest = static_cast<std::size_t>(LargestShare * static_cast<double>(pool.size()));
    ejected.resize(std::min(ejected.size(), largest));
    std::set<std::string> leftOut;
    for (const auto &[until, backend] : ejected) {
        leftOut.insert(backend);
    }
    std::vector<std::string> left;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(left),
                 [&leftOut](const std::string &backend) { return !leftOut.contains(backend); });
    return left;
}

}
