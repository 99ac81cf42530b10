#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The behaviour of an emulated engine, set by the flags of `cyclamencross-emu engine`; see docs/emulator.md.
struct EngineOptions
{
    std::string listen = "127.0.0.1:7000";
    std::string role = "decode";
    std::string model = "model";
    std::size_t slots = 20; ///< Number of requests that the engine holds at once.
    double microsPerToken = 40; ///< Prefill time of one uncached token in microseconds.
    Micros pace{20000}; ///< Time between outputs when a single stream is in the batch.
    Micros paceSlope{1000}; ///< Added to the pace for each further stream in the batch.
    Millis resultTtl{800}; ///< Time after which an unused prefill result is evicted.
    std::uint64_t kvBytesPerToken = 64; ///< Size of a prefill result per prompt token.
    std::uint64_t linkRate = 200U << 20U; ///< Bytes per second of all KV pulls together; 0 for no limit.
    std::size_t cacheBytes = 1U << 20U; ///< Total size of the prompts in the prefix cache.
    Millis eventLag{300}; ///< Delay until a cache event becomes visible.
    double eventLoss = 0.02; ///< Share of cache events that never become visible.
    Millis loadLag{100}; ///< Interval at which the load report is refreshed.
    Millis resumeKeep{3000}; ///< How long a stream without a connection stays resumable.
    Millis orderTime{300}; ///< Time until an accepted order takes effect.
    bool checkFencing = true; ///< Whether orders with an outdated fencing token are rejected.
    std::uint64_t seed = 1; ///< Seed for the lost cache events and the handles of prefill results.
};

}
