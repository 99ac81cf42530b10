#pragma once

#include "cyclamencross/route/enginerule.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// Configuration of a service.
struct ServiceRule
{
    std::string name;
    int maxConnections = 0; ///< Number of connections that a backend server accepts from all clients together.
    std::optional<EngineRule> engine; ///< Set if the backend servers of the service are engines of a model.

    bool operator==(const ServiceRule &) const = default;
};

}
