#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// What the head of a backend server's answer says.
struct BackendAnswer
{
    bool notExecuted = false; ///< The backend server says that it did not run the request.
    bool wrongBackend = false; ///< Another backend server has the address now.
    bool signedAnswer = false; ///< The answer carries the backend server's signature.
    bool encoded = false; ///< The body is encoded, which no backend server does.
    /// Calls that ran and waited at the backend server when it answered, if it tells.
    std::optional<std::int64_t> callsThere;
    std::string requestId; ///< Request that is answered; empty if not told.

    bool operator==(const BackendAnswer &) const = default;
};

}
