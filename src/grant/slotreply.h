#pragma once

#include "cyclamencross/base/engineload.h"
#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

enum class SlotStatus : std::uint8_t {
    Granted,
    Refused,
    Queued, ///< The request waits; the owner answers again within the wait that the request allows.
    NotOwner, ///< The entry does not own the engine, or does not know it.
};

/// Message with an owner's answer to a slot request.
struct SlotReply
{
    SlotStatus status = SlotStatus::Refused;
    std::string requestId;
    std::string engine;
    std::string owner; ///< Name of the entry that answers.
    std::uint64_t number = 0; ///< Number of the slot request.
    std::uint32_t slots = 0;
    std::uint64_t tokens = 0;
    Millis expectedWait{0};
    std::string reason;
    EngineLoad load; ///< Load of the engine including the grant. load.known is TimePoint() if the owner has no report.

    bool operator==(const SlotReply &) const = default;
};

}
