#pragma once

#include "cyclamencross/base/backend.h"

namespace Cyclamen
{

/// A candidate engine with what its choice rests on.
struct RankedEngine
{
    Backend engine;
    double expectedWaitMs = 0; ///< Until the engine starts on this request.
    double costMs = 0; ///< The engine's own work for this request.
    bool prefixHit = false;

    bool operator==(const RankedEngine &) const = default;
};

}
