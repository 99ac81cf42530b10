#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Reports that a host list shows a backend server as leaving or no longer contains it. Entries gossip these reports,
/// so that an entry whose own host list is outdated, or that cannot reach the platform, also stops sending it new work.
struct BackendDeparture
{
    std::string address;
    std::uint64_t listVersion = 0; ///< Version of the host list that shows the departure.

    bool operator==(const BackendDeparture &) const = default;
};

}
