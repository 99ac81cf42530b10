#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>

namespace Cyclamen
{

/// Configuration shared by all engines of a model service.
struct EngineRule
{
    int slots = 0; ///< Number of requests that an engine runs concurrently.
    std::int64_t memoryTokens = 0; ///< Capacity of an engine's KV cache in tokens.
    Millis holdLifetime{0}; ///< Longest lifetime of a capacity reservation; 0 if the engines accept none.
    /// How long an engine keeps the KV cache of a processed prompt for another engine to fetch.
    Millis handleLifetime{0};

    bool operator==(const EngineRule &) const = default;
};

}
