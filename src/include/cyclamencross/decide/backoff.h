#pragma once

#include "cyclamencross/base/timing.h"

#include <random>

namespace Cyclamen
{

constexpr Millis BackoffBase{25};
constexpr Millis BackoffCap{400};

/// Returns the delay before retry number @p attempt (from 1): exponential with full jitter.
Millis backoffDelay(int attempt, std::mt19937_64 &random);

}
