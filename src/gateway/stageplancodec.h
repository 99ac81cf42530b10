#pragma once

#include "cyclamencross/route/stageplan.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// Returns the name of a stage in the plan and the log.
std::string stageName(EngineStage stage);
/// Encodes a plan as the value of a store item.
std::string encodeStagePlan(const StagePlan &plan);
/// Decodes the value of a store item; std::nullopt if it is malformed.
std::optional<StagePlan> decodeStagePlan(const std::string &text);

}
