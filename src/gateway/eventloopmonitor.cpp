#include "eventloopmonitor.h"

#include <algorithm>

namespace Cyclamen
{

EventLoopMonitor::EventLoopMonitor(TimePoint now)
{
    this->ticks.fill(now);
}

Millis EventLoopMonitor::tick(TimePoint now)
{
    const auto period = std::chrono::duration_cast<Millis>(now - this->ticks.back());
    this->ticks = {this->ticks[1], this->ticks[2], now};
    return std::max(Millis(0), period - TickPeriod);
}

TimePoint EventLoopMonitor::earliestArrival() const
{
    return this->ticks.front();
}

}
