#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// The state of a crash suspect whose requests are refused.
struct Containment
{
    TimePoint crashedAt; ///< Time of the last crash.
    Millis period{0}; ///< Time after the last crash for which no request is tried.
    TimePoint trialUntil; ///< While a request is being tried, when the next one may be.
    Millis outputTime{0}; ///< Longest output before one of the crashes.

    bool operator==(const Containment &) const = default;
};

}
