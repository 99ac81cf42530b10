#pragma once

namespace Cyclamen
{

/// Allows retries as a share of fresh requests, so that retries cannot outgrow the real traffic. Not thread-safe.
class RetryBudget
{
public:
    /// @param share retries allowed for each fresh request, for example 0.2.
    /// @param burst retries that may be saved up.
    explicit RetryBudget(double share, double burst = 10);

    /// Counts a fresh request.
    void addFresh();
    /// Takes one retry from the budget.
    /// @return whether the retry is allowed.
    bool takeRetry();
    void setShare(double newShare);

private:
    double share;
    double burst;
    double tokens;
};

}
