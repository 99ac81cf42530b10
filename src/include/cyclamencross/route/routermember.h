#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// A router process as it is registered in the store.
struct RouterMember
{
    std::string name;
    std::uint64_t incarnation = 0; ///< Differs between the runs of a router with the same name.
    std::string zone; ///< Availability zone.
    std::string callerAddress; ///< "IP:PORT" that callers connect to.
    std::string peerAddress; ///< "IP:PORT" that receives the datagrams of other routers.
    std::uint32_t reportFormat = 0; ///< Newest format of reports that it reads, see PeerReport::Format.
    /// Lowest generation of the store that it knows of; unset if it names none, as releases before format 1.
    std::optional<std::uint64_t> lowestGeneration = std::nullopt;

    bool operator==(const RouterMember &) const = default;
};

}
