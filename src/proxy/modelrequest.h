#pragma once

#include "callerrequest.h"
#include "errorreply.h"

#include "cyclamencross/base/fleetconfig.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Cyclamen
{

/// A validated model request.
struct ModelRequest
{
    std::string workspace;
    std::string session;
    std::string model;
    std::string prompt; ///< For a chat, its messages joined to one text.
    int maxTokens = 0;
    bool stream = false;
    bool chat = false;
    std::uint8_t priority = 1;
    Millis deadline{0}; ///< From arrival.
    std::string idempotencyKey;

    /// Returns the number of prompt tokens by the fleet's estimate of 4 bytes each.
    std::uint64_t promptTokens() const;
    /// Returns the cache identity of the prompt's prefix.
    std::string prefix() const;

    bool operator==(const ModelRequest &) const = default;
};

/// Validates @p request against the interface and the fleet's defaults.
std::variant<ModelRequest, CallerError> parseModelRequest(const CallerRequest &request, const FleetDefaults &defaults);

/// Returns the caller's deadline from `Request-Deadline-Ms`, capped by @p longest.
std::variant<Millis, CallerError> parseDeadline(const CallerRequest &request, Millis longest);

}
