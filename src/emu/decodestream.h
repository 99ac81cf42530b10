#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Cyclamen
{

/// The stage of a stream; Pulling means that the prefill result is being transferred.
enum class DecodeStage { Pulling, Decoding, Finished };

/// One stream on an emulated decode engine.
struct DecodeStream
{
    std::string id;
    std::string tag; ///< Of the prompt; see promptTag().
    std::string promptStart; ///< The first bytes of the prompt, which "crash" faults are matched against.
    DecodeStage stage = DecodeStage::Pulling;
    int producedOutputs = 0;
    int maxTokens = 0;
    bool cancelled = false;
    bool attached = true; ///< Whether a client connection receives the output.
    std::uint64_t connectionNumber = 0; ///< Number of the connection that receives the output; a resume increments it.
    TimePoint arrivalTime;
    TimePoint detachTime; ///< When the last connection was closed.
    std::shared_ptr<DecodeStream> crossedWith; ///< Stream whose outputs are sent instead ("crossed" fault).
};

/// The faults that apply to one connection of a stream; -1 for none.
struct StreamFaults
{
    int cutAfter = -1; ///< Close the connection after this many events.
    int gapIndex = -1; ///< Leave out the event with this index.
    bool omitEndMarker = false; ///< End the body without the `[DONE]` event.
};

}
