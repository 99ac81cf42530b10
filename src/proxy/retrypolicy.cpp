#include "retrypolicy.h"

#include "cyclamencross/decide/backoff.h"

namespace Cyclamen
{

namespace
{

constexpr double FirstShare = 0.2; // Until the first request brings the configured one.

}

RetryPolicy::RetryPolicy(std::uint64_t seed)
    : budget(FirstShare)
    , random(seed)
{
}

void RetryPolicy::addFresh(double share)
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

void RetryPolicy::success(const std::string &backend)
{
    const std::scoped_lock lock(this->mutex);
    this->ejection.success(backend);
}

void RetryPolicy::failure(const std::string &backend)
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
