#pragma once

#include <cstdint>

namespace Cyclamen
{

/// How one call to a backend server ended, as far as it tells about the backend server.
enum class CallOutcome : std::uint8_t {
    Served,
    Failed, ///< The backend server answered with an error of its own.
    Broken, ///< The connection broke, or the answer was malformed or too late.
    Unreachable, ///< No connection could be opened; nothing was sent.
    Rejected, ///< The backend server said that it did not run the request.
};

}
