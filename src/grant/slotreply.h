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
    Queued, ///< The owner is alive and answers again within the wait that the ask allows.
    NotOwner, ///< The entry is not responsible for the engine, or does not know it.
};

/// An owner's answer to a SlotAsk.
struct SlotReply
{
    SlotStatus status = SlotStatus::Refused;
    std::string requestId;
    std::string engine;
    std::string owner; ///< Name of the entry that answers.
    std::uint64_t number = 0; ///< Number of the ask.
    std::uint32_t slots = 0;
    std::uint64_t tokens = 0;
    Millis expectedWait{0};
    std::string reason;
    EngineLoad load; ///< Includes the grant. load.known is the default value if the owner has no report.

    bool operator==(const SlotReply &) const = default;
};

}
