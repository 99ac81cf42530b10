#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// The decoded head of a backend server's response.
struct BackendResponseHead
{
    bool notExecuted = false; ///< The backend server states that it did not execute the request.
    bool wrongBackend = false; ///< The address now belongs to another backend server.
    bool isSigned = false; ///< The response carries the backend server's signature.
    bool hasContentEncoding = false; ///< The body has a content encoding, which no backend server uses.
    /// Number of calls running and queued at the backend server when it responded, if reported.
    std::optional<std::int64_t> reportedCalls;
    /// How long work takes on the machine of the backend server relative to the usual time, if it tells that.
    std::optional<double> slowdown;
    /// Requests per second that the backend server takes from all routers together, infinity if it names no limit.
    /// Unset if that is not known, such as for an answer of another server or with a malformed limit.
    std::optional<double> requestsPerSecond;
    /// The server that responded says that it leaves: it wants no new requests and ends soon. If `wrongBackend` is set,
    /// that is not the server that was called.
    bool leaving = false;
    /// The backend server turns the request away and wants no requests of this router for so long.
    std::optional<Millis> pause;
    /// Name of a malformed header in which the backend server says something about itself; empty if there is none.
    std::string malformedStatement;
    std::string requestId; ///< Id of the request that this responds to; empty if not stated.

    bool operator==(const BackendResponseHead &) const = default;
};

}
