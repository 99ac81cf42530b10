#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Fleet-wide values set by operators. A FleetException overrides one of them for part of the traffic.
struct FleetDefaults
{
    Millis firstTokenTarget{420}; ///< Latency target for the first token.
    Millis betweenTokensTarget{74}; ///< Latency target between two tokens.
    Millis requestDeadline{120000};
    Millis answerTtl{10000}; ///< How long callers may cache the reply to GET /v1/entry.
    double retryBudget = 0.2; ///< Retries allowed, as a fraction of first attempts.
    double wastedPrefillWeight = 0.5; ///< 0: only goodput counts; 1: only wasted prefill counts.
    int maxTokens = 4096;

    bool operator==(const FleetDefaults &) const = default;
};

enum class ExceptionScope { Workspace, Model, Zone, Backend };

/// Overrides one default for one workspace, model, availability zone or backend server.
struct FleetException
{
    ExceptionScope scope = ExceptionScope::Workspace;
    std::string subject; ///< Name of the workspace, model or availability zone, or address of the backend server.
    std::string key; ///< The default that is overridden, by its key in the configuration file.
    std::string value;
    std::string reason; ///< Why the exception exists, written by its author.
    std::string author;
    std::optional<std::int64_t> expiry; ///< In seconds since the Unix epoch.

    bool operator==(const FleetException &) const = default;
};

/// One revision of the fleet configuration.
struct FleetConfig
{
    std::uint64_t revision = 0;
    std::string changeId; ///< Unique id of the change that stored this revision.
    std::string author;
    FleetDefaults defaults;
    std::vector<FleetException> exceptions;

    bool operator==(const FleetConfig &) const = default;
};

}
