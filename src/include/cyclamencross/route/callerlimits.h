#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>

namespace Cyclamen
{

/// Limits on the size of a caller's requests and on the time that it may take to send them. The defaults apply until a
/// configuration has been loaded.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    Millis headerTimeout{3000}; ///< Longest time from the first byte of a request to the end of its header.
    Millis idleTimeout{15000}; ///< Longest idle time between two requests on a connection.

    bool operator==(const CallerLimits &) const = default;
};

}
