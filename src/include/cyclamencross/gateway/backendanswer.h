#pragma once

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
    std::string requestId; ///< Request that is answered; empty if not told.

    bool operator==(const BackendAnswer &) const = default;
};

}
