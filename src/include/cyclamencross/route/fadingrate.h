#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// Rate of events with exponentially fading weight.
class FadingRate
{
public:
    /// Time in which the weight of an event falls to 1/e: a few periods of reports, so that the rates of all routers
    /// refer to about the same time.
    static constexpr double FadingSeconds = 0.5;

    /// Returns the weight of a rate of the given age.
    static double weight(Clock::duration age);
    void add(double amount, TimePoint now);
    /// Returns the amount per second.
    double at(TimePoint now) const;

private:
    double sum = 0;
    TimePoint time;
};

}
