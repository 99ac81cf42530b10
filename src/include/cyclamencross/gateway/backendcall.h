#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/enginestage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// What the router adds to a caller's request when it sends it to a backend server.
struct BackendCall
{
    EngineStage stage = EngineStage::None; ///< Prefill: the prompt is read and the request does not run.
    std::string backendId; ///< Another backend server at the same address must refuse the call.
    Millis timeLeft{0};
    std::string memoryAddress; ///< Engine that read the prompt; empty if its memory is not used.
    std::string memoryHandle; ///< Handle of the memory there.
    std::string hold; ///< Reservation of room at this engine; empty if there is none.
    std::optional<std::int64_t> resumeAfter; ///< Last event that the caller has.

    bool operator==(const BackendCall &) const = default;
};

}
