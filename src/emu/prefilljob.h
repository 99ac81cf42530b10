#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Cyclamen
{

enum class PrefillStage { Queued, Running, Held, Pulled, Gone };

/// One prefill on a stand-in engine, from its arrival until its result is used or gone.
struct PrefillJob
{
    std::string id;
    std::string prompt;
    std::int64_t priority = 1;
    PrefillStage stage = PrefillStage::Queued;
    std::size_t promptTokens = 0;
    std::size_t cachedTokens = 0;
    std::string handle;
    TimePoint arrived;
    TimePoint heldSince;
    bool attached = true;
    bool cancelled = false;
};

}
