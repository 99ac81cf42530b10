#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// An entry's question to an engine's owner for room on that engine.
struct SlotAsk
{
    std::string requestId;
    std::string engine;
    std::string workspace;
    std::uint8_t priority = 1; ///< 0 interactive, 1 normal, 2 can wait.
    std::uint32_t slots = 0; ///< Decode slots wanted; 0 at a prefill engine.
    std::uint64_t tokens = 0; ///< Prefill tokens wanted; 0 at a decode engine.
    Millis maxWait{0}; ///< The owner answers no later than this.
    std::uint64_t number =
        0; ///< Set by GrantService; tells a new ask of the same request from a late copy of an earlier one.

    bool operator==(const SlotAsk &) const = default;
};

}
