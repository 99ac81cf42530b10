#include "cyclamencross/route/retryafter.h"

#include <algorithm>
#include <cstdint>

namespace Cyclamen::RetryAfter
{

namespace
{

// The minimum lets a disturbance of a few hundred milliseconds pass; the random spread is of the same order.
constexpr Millis MinDelay{150};
constexpr Millis DelaySpread{350};
// Callers of a stopping router return to different routers, so a short spread is enough.
constexpr Millis MinOtherRouterDelay{20};
constexpr Millis OtherRouterSpread{80};
// Shares of the time left between which the delay after an overload lies. Callers wait at most a third of it.
constexpr double MinOverloadShare = 0.2;
constexpr double MaxOverloadShare = 0.33;
// Part of the delay behind more urgent requests over which the callers are spread.
constexpr double UrgentSpreadShare = 0.2;
// Share of a pause over which the callers that were refused in it are spread, and its bounds.
constexpr double PauseSpreadShare = 0.5;
constexpr Millis MinPauseSpread{350};
constexpr Millis MaxPauseSpread{3000};

}

Millis afterDisturbance(double random)
{
    return MinDelay + Millis(std::int64_t(random * double(DelaySpread.count())));
}

Millis atAnotherRouter(double random)
{
    return MinOtherRouterDelay + Millis(std::int64_t(random * double(OtherRouterSpread.count())));
}

Millis afterOverload(Millis timeLeft, double random)
{
    const double share = MinOverloadShare + random * (MaxOverloadShare - MinOverloadShare);
    return std::max(MinDelay, Millis(std::int64_t(share * double(timeLeft.count()))));
}

Millis behindUrgent(Millis expectedWait, Millis timeLeft, double random)
{
    const double left = std::max(0.0, double(timeLeft.count()));
    const double delay = std::clamp(double(expectedWait.count()), MinOverloadShare * left, MaxOverloadShare * left);
    const double spread = 1 - UrgentSpreadShare * random;
    return std::max(MinDelay, Millis(std::int64_t(std::max(MinOverloadShare * left, delay * spread))));
}

Millis afterPause(Millis remaining, double random)
{
    const Millis share{std::int64_t(PauseSpreadShare * double(remaining.count()))};
    const Millis spread = std::clamp(share, MinPauseSpread, MaxPauseSpread);
    return std::max(Millis(0), remaining) + Millis(std::int64_t(random * double(spread.count())));
}

}
