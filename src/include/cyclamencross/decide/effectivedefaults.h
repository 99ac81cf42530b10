#pragma once

#include "cyclamencross/base/fleetconfig.h"
#include "cyclamencross/decide/valuesource.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The request attributes that exceptions are matched against. An empty member matches no exception.
struct ConfigSubject
{
    std::string workspace;
    std::string model;
    std::string zone;
    std::string backend;

    bool operator==(const ConfigSubject &) const = default;
};

/// Returns the effective values for @p subject: the fleet's defaults, overridden by the matching exceptions in the
/// order availability zone, model, workspace, backend server. Of two exceptions of the same scope, the later one in the
/// file wins. Expired exceptions are ignored.
/// @param now Unix seconds.
FleetDefaults effectiveDefaults(const FleetConfig &config, const ConfigSubject &subject, std::int64_t now);

/// Returns the effective value of each key and where it comes from, in the order of configKeys().
/// @param now Unix seconds.
std::vector<ValueSource> explainDefaults(const FleetConfig &config, const ConfigSubject &subject, std::int64_t now);

}
