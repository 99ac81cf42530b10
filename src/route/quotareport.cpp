#include "cyclamencross/route/quotareport.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

namespace
{

// Largest plausible rate: that of the configuration, MaxNumber of the platform, and some more.
constexpr float MaxRate = 1e16F;

bool isPlausibleRate(float rate)
{
    return std::isfinite(rate) && rate >= 0 && rate <= MaxRate;
}

}

bool QuotaUsage::isPlausible() const
{
    return isPlausibleRate(this->admittedPerSecond) && isPlausibleRate(this->demandPerSecond);
}

bool QuotaReport::isPlausible() const
{
    return std::all_of(this->usage.begin(), this->usage.end(),
                       [](const QuotaUsage &entry) { return entry.isPlausible(); });
}

}
