#pragma once

#include <cstdint>

namespace Cyclamen
{

/// The part of a generation that an engine carries out.
enum class EngineStage : std::uint8_t {
    None, ///< A plain service.
    Prefill, ///< Reads prompts.
    Decode, ///< Generates tokens; reads a prompt itself, more slowly, if it has to.
};

}
