#pragma once

#include "cyclamencross/base/engineload.h"

#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Result of polling an engine.
struct EngineReport
{
    EngineLoad load;
    std::optional<std::vector<std::string>> held; ///< Ids of the held requests, if the list was read too.

    bool operator==(const EngineReport &) const = default;
};

}
