#pragma once

#include <chrono>
#include <cstdint>

namespace Cyclamen
{

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Returns the wall-clock time in seconds since the Unix epoch.
std::int64_t unixSeconds();

}
