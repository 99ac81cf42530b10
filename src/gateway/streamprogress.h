#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// How far a stream has come, shared with what watches its pauses.
struct StreamProgress
{
    TimePoint last = Clock::now(); ///< Newest event, or the start of the call.
    bool finished = false;
};

}
