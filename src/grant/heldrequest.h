#pragma once

#include "cyclamencross/base/timing.h"

#include <string>

namespace Cyclamen
{

/// One request in an engine's request list.
struct HeldRequest
{
    std::string requestId;
    std::string stage;
    Millis age{0};
    bool attached = true; ///< Whether the connection of its entry is open.

    bool operator==(const HeldRequest &) const = default;
};

}
