#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// Progress of one call to a decode engine, shared with the coroutine that watches it for stalls.
struct StreamProgress
{
    TimePoint lastActivity = Clock::now(); ///< Last event or successful probe, or the start of the call.
    bool finished = false;
};

}
