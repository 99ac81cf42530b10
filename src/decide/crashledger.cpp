#include "cyclamencross/decide/crashledger.h"

#include <algorithm>
#include <iterator>

namespace Cyclamen
{

namespace
{

bool isInForce(const CrashReport &report, std::int64_t now)
{
    return now - report.unixTime < CrashLedger::LifetimeSeconds;
}

}

bool CrashLedger::add(const CrashReport &report)
{
    const auto lift = this->liftedUpTo.find(report.fingerprint);
    if (lift != this->liftedUpTo.end() && report.unixTime <= lift->second) {
        return false;
    }
    if (!this->reports.insert(report).second) {
        return false;
    }
    if (this->reports.size() > MaxRecords) {
        const auto oldest =
            std::min_element(this->reports.begin(), this->reports.end(),
                             [](const CrashReport &a, const CrashReport &b) { return a.unixTime < b.unixTime; });
        const bool isOldest = *oldest == report;
        this->reports.erase(oldest);
        return !isOldest;
    }
    return true;
}

int CrashLedger::count(std::uint64_t fingerprint, std::int64_t now) const
{
    int crashes = 0;
    CrashReport lowerBound;
    lowerBound.fingerprint = fingerprint;
    lowerBound.unixTime = INT64_MIN;
    for (auto it = this->reports.lower_bound(lowerBound); it != this->reports.end() && it->fingerprint == fingerprint;
         ++it) {
        crashes += isInForce(*it, now) ? 1 : 0;
    }
    return crashes;
}

bool CrashLedger::isContained(std::uint64_t fingerprint, std::int64_t now) const
{
    return this->count(fingerprint, now) >= CrashesToContain;
}

void CrashLedger::lift(std::uint64_t fingerprint, std::int64_t upTo)
{
    const auto [mark, isNew] = this->liftedUpTo.emplace(fingerprint, upTo);
    mark->second = std::max(mark->second, upTo);
    std::erase_if(this->reports, [&mark = *mark](const CrashReport &report) {
        return report.fingerprint == mark.first && report.unixTime <= mark.second;
    });
}

void CrashLedger::expire(std::int64_t now)
{
    std::erase_if(this->reports, [now](const CrashReport &report) { return !isInForce(report, now); });
    // A lift can be dropped once all records that it covers are too old to count: late copies have no effect either.
    std::erase_if(this->liftedUpTo, [now](const auto &mark) { return now - mark.second >= LifetimeSeconds; });
}

std::vector<CrashReport> CrashLedger::inForce(std::int64_t now) const
{
    std::vector<CrashReport> found;
    std::copy_if(this->reports.begin(), this->reports.end(), std::back_inserter(found),
                 [now](const CrashReport &report) { return isInForce(report, now); });
    return found;
}

}
