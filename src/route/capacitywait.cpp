#include "cyclamencross/route/capacitywait.h"

#include <cstdint>

namespace Cyclamen
{

CapacityWait::CapacityWait(TimePoint start, Millis onTimeFor, Millis maxWait)
    : onTimeUntil(start + onTimeFor)
    , end(start + maxWait)
{
}

TimePoint CapacityWait::endsAt() const
{
    return this->end;
}

TimePoint CapacityWait::onTimeEnd() const
{
    return this->onTimeUntil;
}

bool CapacityWait::isOnTime(TimePoint now) const
{
    return now < this->onTimeUntil;
}

CapacityWait::Action CapacityWait::nextAction(TimePoint now, bool othersOnTime) const
{
    if (now >= this->end) {
        return Action::TryLast;
    }
    return othersOnTime && !this->isOnTime(now) ? Action::Yield : Action::Try;
}

bool CapacityWait::isBehind(TimePoint now, const Others &others) const
{
    return others.aheadHere || (this->isOnTime(now) ? others.moreUrgentInGroup : others.onTimeInGroup);
}

CapacityWait::Action CapacityWait::nextAction(TimePoint now, const Others &others) const
{
    if (!this->isBehind(now, others)) {
        return now >= this->end ? Action::TryLast : Action::Try;
    }
    return now + others.expectedWait >= this->end ? Action::GiveUp : Action::Yield;
}

Millis CapacityWait::retryDelay(TimePoint now, double random) const
{
    const Millis shortest = this->isOnTime(now) ? OnTimeRetryDelay : LateRetryDelay;
    return shortest + Millis(std::int64_t(random * double(shortest.count())));
}

}
