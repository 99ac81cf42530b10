#pragma once

#include "cyclamencross/base/fleetconfig.h"

#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Reads a fleet configuration: [change] with revision, id and author; [defaults] with one key for each member of
/// FleetDefaults; [exception NAME] with scope, subject, key, value, reason, author and expiry (2026-12-31T23:59:59Z).
/// A key that is missing in [defaults] keeps its built-in value.
/// @param file name that failures report.
/// @return the configuration, or InvalidSetting for the first fault.
boost::leaf::result<FleetConfig> parseConfig(const std::string &text, const std::string &file);

/// Returns the text from which parseConfig() reads an equal configuration.
std::string formatConfig(const FleetConfig &config);

}
