#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Cyclamen
{

enum class DecodeStage { Pulling, Decoding, Finished };

/// One stream on a stand-in decode engine.
struct DecodeStream
{
    std::string id;
    std::string tag; ///< Of the prompt; see promptTag().
    std::string promptStart; ///< The first bytes of the prompt.
    DecodeStage stage = DecodeStage::Pulling;
    int produced = 0;
    int maxTokens = 0;
    bool cancelled = false;
    bool attached = true;
    std::uint64_t attachment = 0; ///< Number of the connection that gets the output; a resume takes it over.
    TimePoint arrived;
    TimePoint detachedSince;
    std::shared_ptr<DecodeStream> shownAs; ///< With crossed answers: the stream whose output this one shows.
};

/// What one connection shows of a stream's faults; -1 for none.
struct StreamFaults
{
    int cutAfter = -1; ///< Break the connection after this many events.
    int gapAt = -1; ///< Leave out the event with this index.
    bool withoutEnd = false; ///< End the body without the last event.
};

}
