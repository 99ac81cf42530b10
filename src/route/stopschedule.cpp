#include "cyclamencross/route/stopschedule.h"

#include <algorithm>

namespace Cyclamen
{

StopSchedule::StopSchedule(TimePoint begin, Millis grace)
    : begin(begin)
    , grace(grace)
{
}

TimePoint StopSchedule::refuseAt() const
{
    return this->begin + std::clamp(this->grace - MinFinishPeriod, Millis(0), MaxAcceptPeriod);
}

TimePoint StopSchedule::closeIdleAt() const
{
    return std::min(this->refuseAt() + IdleConnectionPeriod, std::max(this->refuseAt(), this->answerAt()));
}

TimePoint StopSchedule::answerAt() const
{
    return this->begin + std::max(Millis(0), this->grace - AnswerMargin);
}

Millis StopSchedule::sinceBegin(TimePoint time) const
{
    return std::chrono::duration_cast<Millis>(time - this->begin);
}

bool StopSchedule::canFinish(TimePoint now, Millis duration) const
{
    return now + duration <= this->endAt();
}

TimePoint StopSchedule::endAt() const
{
    return this->begin + std::max(Millis(0), this->grace - ShutdownMargin);
}

}
