#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// A slowdown as a backend server told it in one answer.
struct ToldSlowdown
{
    double factor = 1; ///< Time for a piece of work relative to the usual time.
    Millis age{0}; ///< Time since the answer.

    bool operator==(const ToldSlowdown &) const = default;
};

}
