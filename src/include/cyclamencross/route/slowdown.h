#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// How long work takes on the machine of a backend server, as the server itself has told in answers.
struct Slowdown
{
    double factor = 1; ///< Time for a piece of work relative to the usual time; smoothed.
    double trust = 0; ///< How much the factor says about this moment: 1 if just told, 0 if not known.
    Millis age{-1}; ///< Time since the newest answer that told it; negative if not known.
    bool isFromPeer = false; ///< The newest answer was given to another router of the group.

    /// Returns the factor as far as it is trusted; 1 if nothing is known.
    double known() const
    {
        return 1 + this->trust * (this->factor - 1);
    }

    bool operator==(const Slowdown &) const = default;
};

}
