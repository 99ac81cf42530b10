#pragma once

#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

/// A limit on the requests of all routers that a backend server named in an answer.
struct NamedLimit
{
    double requestsPerSecond = 0; ///< Infinity if it named none any more.
    Millis age{0}; ///< Time since the answer.

    bool operator==(const NamedLimit &) const = default;
};

}
