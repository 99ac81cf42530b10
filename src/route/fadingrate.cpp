#include "cyclamencross/route/fadingrate.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

double FadingRate::weight(Clock::duration age)
{
    return std::exp(-std::max(0.0, toSeconds(age)) / FadingSeconds);
}

void FadingRate::add(double amount, TimePoint now)
{
    this->sum = std::max(0.0, this->sum * weight(now - this->time) + amount);
    this->time = now;
}

double FadingRate::at(TimePoint now) const
{
    return this->sum * weight(now - this->time) / FadingSeconds;
}

}
