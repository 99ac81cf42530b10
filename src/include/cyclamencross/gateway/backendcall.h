#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/enginestage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// The parameters that the router adds to a caller's request when it sends it to a backend server.
struct BackendCall
{
    EngineStage stage = EngineStage::None; ///< Prefill: the engine only processes the prompt.
    /// Name of the caller's workspace; empty if the request needs none, unset if the configuration has no workspaces.
    std::optional<std::string> workspace;
    std::string backendId; ///< Id of the intended backend server; another one at its address must refuse the call.
    Millis timeLeft{0}; ///< Time until the deadline of the request.
    std::string kvCacheAddress; ///< Prefill engine to fetch the KV cache from; empty if there is none.
    std::string kvCacheHandle; ///< Handle of the KV cache at that engine.
    std::string reservationToken; ///< Token of a capacity reservation at this engine; empty if there is none.
    /// Priority of the request at an engine, from 0, the most urgent, to 9; unset if the priorities of the service do
    /// not differ.
    std::optional<int> priority;
    std::optional<std::int64_t> resumeAfter; ///< Id of the last event that the caller has received.

    bool operator==(const BackendCall &) const = default;
};

}
