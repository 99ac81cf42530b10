#pragma once

#include "cyclamencross/base/backend.h"
#include "cyclamencross/base/fleetconfig.h"
#include "cyclamencross/base/member.h"

#include <memory>
#include <vector>

namespace Cyclamen
{

/// A snapshot of this entry's knowledge of the fleet. Snapshots are immutable: threads that serve requests read the
/// current one, and the control thread replaces it.
struct FleetView
{
    Member self;
    std::vector<Member> members; ///< Includes self, sorted by name.
    std::vector<Backend> backends; ///< Sorted by address.
    std::shared_ptr<const FleetConfig> config; ///< Null as long as none is known.
    bool isolated = false; ///< Receives nothing from peers or the platform; new requests must be rejected.
    bool ready = false; ///< A host list and a configuration (or the built-in defaults) are known.
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

}
