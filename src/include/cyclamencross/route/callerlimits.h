#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>

namespace Cyclamen
{

/// Bounds on what a caller may send and how long it may take. The defaults hold until a configuration is known.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    Millis headerTimeout{3000}; ///< From the first byte of a request to the end of its header.
    Millis idleTimeout{15000}; ///< Between two requests of a connection.

    bool operator==(const CallerLimits &) const = default;
};

}
