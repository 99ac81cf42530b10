#pragma once

#include <cstdint>

namespace Cyclamen
{

/// The stage of text generation that an engine runs.
enum class EngineStage : std::uint8_t {
    None, ///< Not an engine: the backend server belongs to a plain service.
    Prefill, ///< Processes prompts.
    Decode, ///< Generates tokens. Can process a prompt itself if necessary, but more slowly.
};

}
