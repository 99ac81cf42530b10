#pragma once

#include "cyclamencross/route/enginerule.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// One service of the configuration.
struct ServiceRule
{
    std::string name;
    int maxConnections = 0; ///< Connections a backend server accepts from all callers together.
    std::optional<EngineRule> engine; ///< Set where the backend servers are model engines.

    bool operator==(const ServiceRule &) const = default;
};

}
