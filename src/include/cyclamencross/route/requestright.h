#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>

namespace Cyclamen
{

/// The right to send one request to a backend server, given by NamedRateLimits.
struct RequestRight
{
    TimePoint expiry; ///< TimePoint() if the server had no limit.
    std::uint64_t lowering = 0; ///< Number of the last lowering that ended rights; 0 if the server had no limit.

    bool operator==(const RequestRight &) const = default;
};

}
