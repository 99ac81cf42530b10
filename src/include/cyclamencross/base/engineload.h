#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The last known load of an engine, from replies of the entry that owns it or from the engine's own report.
struct EngineLoad
{
    std::string engine; ///< Address.
    std::uint32_t slots = 0; ///< Number of requests that fit into the engine's memory.
    std::uint32_t held = 0; ///< Slots that are in use or granted.
    std::uint64_t queuedTokens = 0; ///< Prompt tokens of granted prefill work that is not finished.
    double tokensPerSecond = 0; ///< Prefill throughput.
    TimePoint known; ///< When this load was received.

    bool operator==(const EngineLoad &) const = default;
};

}
