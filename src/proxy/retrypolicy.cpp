#include "retrypolicy.h"

#include "cyclamencross/decide/backoff.h"

namespace Cyclamen
{

namespace
{

constexpr double InitialRetryShare = 0.2; // Used until the first request sets the configured share.

}

RetryPolicy::RetryPolicy(std::uint64_t seed)
    : budget(InitialRetryShare)
    , random(seed)
{
}

void RetryPolicy::countRequest(double share)
{
    const std::scoped_lock lock(this->mutex);
    this->budget.setShare(share);
    this->budget.addFresh();
}

bool RetryPolicy::takeRetry()
{
    const std::scoped_lock lock(this->mutex);
    return this->budget.takeRetry();
}

Millis RetryPolicy::delay(int attempt)
{
    const std::scoped_lock lock(this->mutex);
    return backoffDelay(attempt, this->random);
}

void RetryPolicy::recordSuccess(const std::string &backend)
{
    const std::scoped_lock lock(this->mutex);
    this->ejection.success(backend);
}

void RetryPolicy::recordFailure(const std::string &backend)
{
    const std::scoped_lock lock(this->mutex);
    this->ejection.failure(backend, Clock::now());
}

std::vector<std::string> RetryPolicy::filter(const std::vector<std::string> &pool) const
{
    const std::scoped_lock lock(this->mutex);
    return this->ejection.filter(pool, Clock::now());
}

std::mt19937_64 RetryPolicy::generator()
{
    const std::scoped_lock lock(this->mutex);
    return std::mt19937_64(this->random());
}

}
