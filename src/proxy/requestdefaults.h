#pragma once

#include "cyclamencross/base/fleetview.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Returns the fleet's defaults with the exceptions in force for a request. Exceptions for the availability zone apply
/// first, then those for the model, then those for the workspace, so that the narrowest one wins.
FleetDefaults requestDefaults(const FleetView &view, const std::string &workspace, const std::string &model,
                              std::int64_t unixTime);

}
