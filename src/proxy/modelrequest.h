#pragma once

#include "callerrequest.h"
#include "errorreply.h"

#include "cyclamencross/base/fleetconfig.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Cyclamen
{

/// A validated completion or chat completion request.
struct ModelRequest
{
    std::string workspace;
    std::string session;
    std::string model;
    std::string prompt; ///< For a chat, all messages joined into one text.
    int maxTokens = 0;
    bool stream = false;
    bool chat = false;
    std::uint8_t priority = 1;
    Millis deadline{0}; ///< Relative to arrival.
    std::string idempotencyKey;

    /// Returns the estimated number of prompt tokens, at 4 bytes per token.
    std::uint64_t promptTokens() const;
    /// Returns the cache key of the prompt's prefix, a hash of its first 256 bytes.
    std::string prefix() const;

    bool operator==(const ModelRequest &) const = default;
};

/// Parses and validates @p request. Values that the caller leaves out are taken from @p defaults, which also cap the
/// deadline and the number of tokens.
/// @return the parsed request, or a 400 error.
std::variant<ModelRequest, CallerError> parseModelRequest(const CallerRequest &request, const FleetDefaults &defaults);

/// Parses `Request-Deadline-Ms`.
/// @return the deadline relative to arrival, capped by @p limit and equal to it without the header; or a 400 error.
std::variant<Millis, CallerError> parseDeadline(const CallerRequest &request, Millis limit);

}
