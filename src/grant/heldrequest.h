#pragma once

#include "cyclamencross/base/timing.h"

#include <string>

namespace Cyclamen
{

/// A request as the engine's own list shows it.
struct HeldRequest
{
    std::string requestId;
    std::string stage;
    Millis age{0};
    bool attached = true; ///< Whether a connection of its entry is open.

    bool operator==(const HeldRequest &) const = default;
};

}
