#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Room granted on an engine. It is released with the same request id and engine.
struct SlotGrant
{
    std::string requestId;
    std::string engine;
    std::string owner; ///< Name of the entry that granted it; empty if no owner answered and the engine decides.
    std::uint32_t slots = 0;
    std::uint64_t tokens = 0;
    Millis expectedWait{0}; ///< Prefill work in front of this request.
    std::uint64_t number = 0; ///< Number of the ask that it answers.

    bool operator==(const SlotGrant &) const = default;
};

}
