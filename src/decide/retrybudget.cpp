#include "cyclamencross/decide/retrybudget.h"

#include <algorithm>

namespace Cyclamen
{

RetryBudget::RetryBudget(double share, double burst)
    : share(share)
    , burst(burst)
    , tokens(burst)
{
}

void RetryBudget::addFresh()
{
    this->tokens = std::min(this->burst, this->tokens + this->share);
}

bool RetryBudget::takeRetry()
{
    if (this->share <= 0 || this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

void RetryBudget::setShare(double newShare)
{
    this->share = newShare;
}

}
