#include "cyclamencross/route/slowcallerrule.h"

namespace Cyclamen
{

SlowCallerRule::Action SlowCallerRule::nextAction(std::size_t unsent, bool admitted, Millis paused)
{
    if (unsent <= pauseLimit(admitted)) {
        return Action::ReadOn;
    }
    return paused < MaxPause ? Action::Pause : Action::Cut;
}

std::size_t SlowCallerRule::pauseLimit(bool admitted)
{
    return admitted ? MaxUnsentBytes : 0;
}

bool SlowCallerRule::mayReplace(Millis stalled)
{
    return stalled >= MinStalledTime;
}

}
