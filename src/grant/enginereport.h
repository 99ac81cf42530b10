#pragma once

#include "cyclamencross/base/engineload.h"

#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// What a poll learned of an engine.
struct EngineReport
{
    EngineLoad load;
    std::optional<std::vector<std::string>> held; ///< Request ids, if the list was read too.

    bool operator==(const EngineReport &) const = default;
};

}
