#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The stage of a prefill; Held means that its result waits in memory to be pulled.
enum class PrefillStage { Queued, Running, Held, Pulled, Gone };

/// One prefill on an emulated engine, from its arrival until its result is pulled, evicted or cancelled.
struct PrefillJob
{
    std::string id;
    std::string prompt;
    std::int64_t priority = 1;
    PrefillStage stage = PrefillStage::Queued;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::string handle; ///< Name of the result; a decode engine pulls the result with it.
    TimePoint arrivalTime;
    TimePoint heldSince;
    bool attached = true; ///< Whether the client was still connected when the prefill was last checked.
    bool cancelled = false;
};

}
