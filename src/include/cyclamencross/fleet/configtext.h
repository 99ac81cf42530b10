#pragma once

#include "cyclamencross/base/fleetconfig.h"

#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Parses a fleet configuration in INI format: [change] with revision, id and author; [defaults] with one key for each
/// member of FleetDefaults; [exception NAME] with scope, subject, key, value, reason, author and expiry
/// (2026-12-31T23:59:59Z). Keys that are missing in [defaults] keep their built-in values.
/// @param file file name for error messages.
/// @return the configuration, or InvalidSetting for the first error.
boost::leaf::result<FleetConfig> parseConfig(const std::string &text, const std::string &file);

/// Returns @p config as INI text. Parsing it with parseConfig() gives an equal configuration.
std::string formatConfig(const FleetConfig &config);

}
