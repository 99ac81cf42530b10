#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Capacity granted on an engine. A release names the same request id and engine.
struct SlotGrant
{
    std::string requestId;
    std::string engine;
    std::string owner; ///< Name of the entry that granted it; empty if no owner replied, in which case the engine
                       ///< itself decides.
    std::uint32_t slots = 0; ///< Granted decode slots.
    std::uint64_t tokens = 0; ///< Granted prefill tokens.
    Millis expectedWait{0}; ///< Estimated time for the prefill work queued ahead of this request.
    std::uint64_t number = 0; ///< SlotAsk::number of the granted ask.

    bool operator==(const SlotGrant &) const = default;
};

}
