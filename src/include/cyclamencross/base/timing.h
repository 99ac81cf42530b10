#pragma once

#include <chrono>
#include <cstdint>

namespace Cyclamen
{

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Returns @p duration in seconds.
inline double toSeconds(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the time since the host was started, including the time for which it was suspended; Clock leaves that out.
Clock::duration bootTime();

/// Returns the wall-clock time in seconds since the Unix epoch.
std::int64_t unixSeconds();

/// Returns the wall-clock time in milliseconds since the Unix epoch.
std::int64_t unixMillis();

}
