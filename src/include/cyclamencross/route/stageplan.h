#pragma once

#include "cyclamencross/route/enginestage.h"

#include <map>
#include <string>

namespace Cyclamen
{

/// Stages that engines are to run instead of the one they started with. The plan is written to the store before any
/// engine is told, so that all routers stop sending it requests of its old stage and a new leader can complete it.
struct StagePlan
{
    std::map<std::string, EngineStage> stages; ///< By id of the engine.

    bool operator==(const StagePlan &) const = default;
};

}
