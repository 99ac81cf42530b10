#include "cyclamencross/decide/retrybudget.h"

#include <algorithm>

namespace Cyclamen
{

RetryBudget::RetryBudget(double ratio, double burst)
    : ratio(ratio)
    , burst(burst)
    , tokens(burst)
{
}

void RetryBudget::addFresh()
{
    this->tokens = std::min(this->burst, this->tokens + this->ratio);
}

bool RetryBudget::takeRetry()
{
    if (this->ratio <= 0 || this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

void RetryBudget::setShare(double newRatio)
{
    this->ratio = newRatio;
}

}
