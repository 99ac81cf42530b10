#include "cyclamencross/route/workspacebucket.h"

#include <algorithm>

namespace Cyclamen
{

WorkspaceBucket::WorkspaceBucket(const WorkspaceQuota &quota, double level, TimePoint now)
    : limit(quota)
    , available(level)
    , last(now)
    , wholeSince(now)
{
}

void WorkspaceBucket::advance(double share, bool isReunion, TimePoint now)
{
    if (share<this->lastShare &&this->available> 0) {
        const double kept = this->available * share / this->lastShare;
        this->withheld += this->available - kept;
        this->available = kept;
    }
    if (share > this->lastShare && !isReunion) {
        const double returned = this->withheld * (share - this->lastShare) / (1 - this->lastShare);
        this->withheld -= returned;
        this->available += returned;
    }
    if (share < 1) {
        this->wholeSince = now;
    } else if (now - this->wholeSince >= SettleTime) {
        this->withheld = 0;
    }
    this->lastShare = share;
    const double refill = this->limit.ratePerSecond * std::max(0.0, toSeconds(now - this->last));
    this->last = std::max(this->last, now);
    this->available += refill * share;
    this->withheld += refill * (1 - share);
    this->clampLevel();
}

void WorkspaceBucket::take(double cost)
{
    this->available -= cost;
    this->clampLevel();
}

void WorkspaceBucket::takeForReunited(double cost)
{
    const double fromWithheld = std::clamp(cost, 0.0, this->withheld);
    this->withheld -= fromWithheld;
    this->take(cost - fromWithheld);
}

void WorkspaceBucket::changeQuota(const WorkspaceQuota &quota)
{
    this->available += std::max(0.0, quota.burst - this->limit.burst) * this->lastShare;
    this->limit = quota;
    this->clampLevel();
}

const WorkspaceQuota &WorkspaceBucket::quota() const
{
    return this->limit;
}

double WorkspaceBucket::level() const
{
    return this->available;
}

double WorkspaceBucket::capacity() const
{
    return this->limit.burst * this->lastShare;
}

void WorkspaceBucket::clampLevel()
{
    const double maxDebt = this->limit.ratePerSecond * MaxDebtSeconds + this->limit.burst;
    this->available = std::clamp(this->available, -maxDebt, this->capacity());
}

}
