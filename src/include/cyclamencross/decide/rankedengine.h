#pragma once

#include "cyclamencross/base/backend.h"

namespace Cyclamen
{

/// A candidate engine with the estimates that it is ranked by.
struct RankedEngine
{
    Backend engine;
    double expectedWaitMs = 0; ///< Time until the engine starts on this request.
    double costMs = 0; ///< Processing time of this request on the engine.
    bool prefixHit = false; ///< Whether the engine probably has the start of the prompt in its prefix cache.

    bool operator==(const RankedEngine &) const = default;
};

}
