#include "cyclamencross/route/roomwait.h"

#include <cstdint>

namespace Cyclamen
{

RoomWait::RoomWait(TimePoint start, Millis onTimeFor, Millis maxWait)
    : onTimeUntil(start + onTimeFor)
    , end(start + maxWait)
{
}

bool RoomWait::isOnTime(TimePoint now) const
{
    return now < this->onTimeUntil;
}

RoomWait::Turn RoomWait::turn(TimePoint now, bool othersOnTime) const
{
    if (now >= this->end) {
        return Turn::End;
    }
    return othersOnTime && !this->isOnTime(now) ? Turn::Yield : Turn::Look;
}

Millis RoomWait::pause(TimePoint now, double random) const
{
    const Millis shortest = this->isOnTime(now) ? OnTimePause : LatePause;
    return shortest + Millis(std::int64_t(random * double(shortest.count())));
}

}
