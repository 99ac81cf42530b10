#pragma once

#include "cyclamencross/base/timing.h"

#include <random>

namespace Cyclamen
{

/// Upper bound of the delay before the first retry; it doubles with each further retry.
constexpr Millis BackoffBase{25};
/// Largest upper bound of a delay.
constexpr Millis BackoffCap{400};

/// Returns the delay before retry number @p attempt (from 1): exponential backoff with full jitter, drawn uniformly
/// between 0 and the upper bound.
Millis backoffDelay(int attempt, std::mt19937_64 &random);

}
