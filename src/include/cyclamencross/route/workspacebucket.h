#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/workspacequota.h"

namespace Cyclamen
{

/// One router's estimate of the global token bucket of a workspace. While some routers are not heard, a part of the
/// bucket and of the rate is withheld for them. The level may be negative: routers admit requests before they hear of
/// one another.
class WorkspaceBucket
{
public:
    /// @param level what the bucket holds at first.
    WorkspaceBucket(const WorkspaceQuota &quota, double level, TimePoint now);

    /// Refills the bucket.
    /// @param share part of the routers that are heard, from 0 to 1.
    /// @param isReunion whether routers that are heard again were heard before. What is withheld for them may be used
    /// up; what is withheld for routers that were never heard returns to the bucket when they are.
    void advance(double share, bool isReunion, TimePoint now);
    /// Takes the cost of an admission, or gives it back if it is negative.
    void take(double cost);
    /// Takes what routers have admitted while they were not heard, from the withheld part first.
    void takeForReunited(double cost);
    /// A smaller burst cuts the level, a larger one adds the difference.
    void changeQuota(const WorkspaceQuota &quota);
    const WorkspaceQuota &quota() const;
    /// Returns what the routers that are heard may still use; negative for a debt.
    double level() const;
    /// Returns the burst of the routers that are heard.
    double capacity() const;

private:
    /// Time at the full rate in which the largest debt is paid. Debts beyond what the delay of reports explains come
    /// from counters that were not comparable; they must not stop a workspace for long.
    static constexpr double MaxDebtSeconds = 2;
    /// Time after which the withheld part is dropped when all routers are heard again: several periods of reports, in
    /// which the admissions of the others become known.
    static constexpr Millis SettleTime{1000};

    void clampLevel();

    WorkspaceQuota limit;
    double available = 0;
    double withheld = 0;
    double lastShare = 1;
    TimePoint last;
    TimePoint wholeSince; ///< Since when all routers are heard.
};

}
