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

    /// Counts a fresh request; @p share is the configured retry budget.
    void addFresh(double share);
    /// Takes one retry from the budget.
    bool takeRetry();
    /// Returns the delay before retry number @p attempt (from 1).
    Millis delay(int attempt);

    void success(const std::string &backend);
    void failure(const std::string &backend);
    /// Returns @p pool without its ejected backend servers.
    std::vector<std::string> filter(const std::vector<std::string> &pool) const;
    /// Returns a generator seeded from the shared one, for use by one request.
    std::mt19937_64 generator();

private:
    mutable std::mutex mutex;
    RetryBudget budget;
    OutlierEjection ejection;
    std::mt19937_64 random;
};

}
