#pragma once

#include "cyclamencross/base/fleetconfig.h"

#include <functional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// One key of the [defaults] section of a fleet configuration. Exceptions override it under the same name.
struct ConfigKey
{
    std::string name;
    std::string expected; ///< Description of the valid values, for error messages.
    /// Parses the text and sets the value. Returns false and changes nothing if the text is not a valid value.
    std::function<bool(FleetDefaults &, const std::string &)> set;
    /// Returns the value as text that set() accepts.
    std::function<std::string(const FleetDefaults &)> get;
};

/// Returns all keys in the order in which they appear in a written configuration.
const std::vector<ConfigKey> &configKeys();
/// Returns the key with the given name, or null if there is none.
const ConfigKey *findConfigKey(const std::string &name);

}
