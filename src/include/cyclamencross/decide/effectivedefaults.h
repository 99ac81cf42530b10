#pragma once

#include "cyclamencross/base/fleetconfig.h"
#include "cyclamencross/decide/valuesource.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamen
{

/// What a value is asked for. An empty member matches no exception.
struct ConfigSubject
{
    std::string workspace;
    std::string model;
    std::string zone;
    std::string backend;

    bool operator==(const ConfigSubject &) const = default;
};

/// Returns the values in force for @p subject: the fleet's defaults, changed by the matching exceptions of an
/// availability zone, then of a model, of a workspace and of a backend server. Of two exceptions of the same scope, the
/// later one in the file holds. Exceptions past their expiry do not count.
/// @param now Unix seconds.
FleetDefaults effectiveDefaults(const FleetConfig &config, const ConfigSubject &subject, std::int64_t now);

/// Returns for each key its value in force and where that comes from.
std::vector<ValueSource> explainDefaults(const FleetConfig &config, const ConfigSubject &subject, std::int64_t now);

}
