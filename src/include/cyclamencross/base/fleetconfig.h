#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The values that operators set for the whole fleet and may override by an exception.
struct FleetDefaults
{
    Millis firstTokenTarget{420};
    Millis betweenTokensTarget{74};
    Millis requestDeadline{120000};
    Millis answerTtl{10000}; ///< How long callers keep the answer of GET /v1/entry.
    double retryBudget = 0.2; ///< Retries as a share of fresh requests.
    double wastedPrefillWeight = 0.5; ///< 0: only goodput counts; 1: only wasted prefill counts.
    int maxTokens = 4096;

    bool operator==(const FleetDefaults &) const = default;
};

enum class ExceptionScope { Workspace, Model, Zone, Backend };

/// One exception from the defaults, with the operator's written reason.
struct FleetException
{
    ExceptionScope scope = ExceptionScope::Workspace;
    std::string subject; ///< The workspace, model, availability zone or backend server address it applies to.
    std::string key;
    std::string value;
    std::string reason;
    std::string author;
    std::optional<std::int64_t> expiry; ///< Unix seconds.

    bool operator==(const FleetException &) const = default;
};

/// A revision of the fleet configuration.
struct FleetConfig
{
    std::uint64_t revision = 0;
    std::string changeId;
    std::string author;
    FleetDefaults defaults;
    std::vector<FleetException> exceptions;

    bool operator==(const FleetConfig &) const = default;
};

}
