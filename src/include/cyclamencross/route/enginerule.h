#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>

namespace Cyclamen
{

/// What the engines of a model service have in common.
struct EngineRule
{
    int slots = 0; ///< Requests an engine runs at the same time.
    std::int64_t memoryTokens = 0; ///< Tokens that an engine's memory holds.
    Millis holdLifetime{0}; ///< Longest reservation of room; 0 if engines take none.
    Millis handleLifetime{0}; ///< How long the memory of a read prompt waits to be taken.

    bool operator==(const EngineRule &) const = default;
};

}
