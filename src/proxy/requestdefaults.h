#pragma once

#include "cyclamencross/base/fleetview.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Returns the fleet's defaults with the exceptions that apply to a request. Exceptions for the availability zone are
/// applied first, then those for the model, then those for the workspace, so that the most specific one takes
/// precedence.
/// @param unixTime current time in seconds, by which expired exceptions are left out.
FleetDefaults requestDefaults(const FleetView &view, const std::string &workspace, const std::string &model,
                              std::int64_t unixTime);

}
