#pragma once

#include <cstdint>

namespace Cyclamen
{

/// Outcome of one call to a backend server, reduced to what it says about the health of the backend server.
enum class CallOutcome : std::uint8_t {
    Served, ///< The backend server answered without an error.
    Failed, ///< The backend server answered with an error status.
    Broken, ///< The connection broke, or the answer was malformed or too late.
    Unreachable, ///< The connection could not be opened; nothing was sent.
    Rejected, ///< The backend server reported that it did not run the request.
};

}
