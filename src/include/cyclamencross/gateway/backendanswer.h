#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// The decoded head of a backend server's response.
struct BackendAnswer
{
    bool notExecuted = false; ///< The backend server states that it did not execute the request.
    bool wrongBackend = false; ///< The address now belongs to another backend server.
    bool signedAnswer = false; ///< The response carries the backend server's signature.
    bool encoded = false; ///< The body has a content encoding, which no backend server uses.
    /// Number of calls running and queued at the backend server when it responded, if reported.
    std::optional<std::int64_t> callsThere;
    std::string requestId; ///< Id of the request that this responds to; empty if not stated.

    bool operator==(const BackendAnswer &) const = default;
};

}
