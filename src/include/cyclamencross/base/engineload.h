#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// What is known of an engine's load, from its owner entry's replies or its own report.
struct EngineLoad
{
    std::string engine;
    std::uint32_t slots = 0; ///< Requests that its memory holds.
    std::uint32_t held = 0; ///< Slots in use or granted.
    std::uint64_t queuedTokens = 0; ///< Prefill work granted and not finished.
    double tokensPerSecond = 0; ///< Prefill speed.
    TimePoint known; ///< When this was learned.

    bool operator==(const EngineLoad &) const = default;
};

}
