#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// A request for capacity on an engine, sent to the entry that owns the engine.
struct SlotRequest
{
    std::string requestId;
    std::string engine;
    std::string workspace;
    std::uint8_t priority = 1; ///< 0: interactive, 1: normal, 2: may be delayed.
    std::uint32_t slots = 0; ///< Requested decode slots; 0 for a prefill engine.
    std::uint64_t tokens = 0; ///< Requested prefill tokens; 0 for a decode engine.
    Millis maxWait{0}; ///< The owner replies within this time.
    /// Sequence number set by GrantService. It distinguishes a new slot request for the same request from a delayed
    /// duplicate of an earlier one.
    std::uint64_t sequenceNumber = 0;

    bool operator==(const SlotRequest &) const = default;
};

}
