#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Cyclamen
{

/// How a stand-in engine behaves. The flags of `cyclamencross-emu engine` set it; see docs/emulator.md.
struct EngineOptions
{
    std::string listen = "127.0.0.1:7000";
    std::string role = "decode";
    std::string model = "model";
    std::size_t slots = 20;
    double microsPerToken = 40; ///< Prefill cost of one uncached token.
    Micros pace{20000}; ///< Time between outputs of a lone stream.
    Micros paceSlope{1000}; ///< Added to the pace for each further stream in the batch.
    Millis resultTtl{800}; ///< An unused prefill result is evicted after this time.
    std::uint64_t kvBytesPerToken = 64;
    std::uint64_t linkRate = 200U << 20U; ///< Bytes per second of all KV pulls from this engine together.
    std::size_t cacheBytes = 1U << 20U; ///< Limit of the prompts that the prefix cache remembers.
    Millis eventLag{300};
    double eventLoss = 0.02; ///< Share of cache events that never become visible.
    Millis loadLag{100};
    Millis resumeKeep{3000}; ///< How long a stream without a connection stays resumable.
    Millis orderTime{300};
    bool checkFencing = true;
    std::uint64_t seed = 1;
};

}
