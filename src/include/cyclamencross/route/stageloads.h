#pragma once

#include "cyclamencross/route/stageload.h"

#include <cstddef>
#include <vector>

namespace Cyclamen::StageLoads
{

/// Returns the load of all engines of a service, from the loads of some groups of routers. Each group counts by the
/// number of its engines; engines of other groups are taken to have the average load.
/// @param groups loads of the groups, with the number of engines that take requests now.
/// @param prefillEngines number of all prefill engines.
/// @param decodeEngines number of all decode engines.
StageLoad ofAll(const std::vector<StageLoad> &groups, std::size_t prefillEngines, std::size_t decodeEngines);

}
