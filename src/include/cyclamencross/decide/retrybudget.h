#pragma once

namespace Cyclamen
{

/// Token bucket that limits retries to a ratio of the original requests, so that retries cannot outgrow the original
/// traffic. Not thread-safe.
class RetryBudget
{
public:
    /// @param ratio retries allowed for each original request, for example 0.2; 0 allows none.
    /// @param burst largest number of retries that can be saved up; the bucket starts full.
    explicit RetryBudget(double ratio, double burst = 10);

    /// Counts an original request, which adds to the budget.
    void addFresh();
    /// Takes one retry from the budget.
    /// @return whether the retry is allowed; if not, the budget is unchanged.
    bool takeRetry();
    void setShare(double newRatio);

private:
    double ratio;
    double burst;
    double tokens;
};

}
