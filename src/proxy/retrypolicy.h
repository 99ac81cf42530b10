#pragma once

#include "cyclamencross/decide/outlierejection.h"
#include "cyclamencross/decide/retrybudget.h"

#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The entry's retry budget, backoff and outlier ejection, shared by its requests. Thread-safe.
class RetryPolicy
{
public:
    explicit RetryPolicy(std::uint64_t seed);

    /// Counts a new request, which adds to the retry budget.
    /// @param share allowed retries per request.
    void countRequest(double share);
    /// Takes one retry from the budget.
    /// @return false if the budget is exhausted.
    bool takeRetry();
    /// Returns the randomized backoff before retry number @p attempt, counted from 1.
    Millis delay(int attempt);

    /// Records the result of an exchange with @p backend for outlier ejection.
    void recordSuccess(const std::string &backend);
    void recordFailure(const std::string &backend);
    /// Returns @p pool without the ejected backend servers.
    std::vector<std::string> filter(const std::vector<std::string> &pool) const;
    /// Returns a random generator for one request, seeded from the shared one.
    std::mt19937_64 generator();

private:
    mutable std::mutex mutex;
    RetryBudget budget;
    OutlierEjection ejection;
    std::mt19937_64 random;
};

}
