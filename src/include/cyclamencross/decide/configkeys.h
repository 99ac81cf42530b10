#pragma once

#include "cyclamencross/base/fleetconfig.h"

#include <functional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// One key of [defaults], which an exception may also name.
struct ConfigKey
{
    std::string name;
    std::string expected; ///< What a value must be, for failures.
    /// Sets the member from text. Returns false if the text is no valid value.
    std::function<bool(FleetDefaults &, const std::string &)> set;
    std::function<std::string(const FleetDefaults &)> get;
};

/// Returns all keys in the order in which they are written.
const std::vector<ConfigKey> &configKeys();
/// Returns the key @p name, or null if there is none.
const ConfigKey *findConfigKey(const std::string &name);

}
