#pragma once

#include "cyclamencross/base/backend.h"
#include "cyclamencross/base/fleetconfig.h"
#include "cyclamencross/base/member.h"

#include <memory>
#include <vector>

namespace Cyclamen
{

/// An immutable snapshot of what this entry knows of the fleet. Traffic threads read it; the control thread replaces
/// it.
struct FleetView
{
    Member self;
    std::vector<Member> members; ///< Includes self, sorted by name.
    std::vector<Backend> backends; ///< Sorted by address.
    std::shared_ptr<const FleetConfig> config;
    bool isolated = false; ///< Hears neither peers nor platform: new requests must be refused.
    bool ready = false; ///< A host list and a configuration (or the built-in defaults) are known.
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

}
