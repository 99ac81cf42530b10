#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// One router process as it registers itself.
struct RouterMember
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::string zone; ///< Availability zone.
    std::string callerAddress; ///< "IP:PORT" that callers connect to.
    std::string peerAddress; ///< "IP:PORT" for datagrams of other routers.

    bool operator==(const RouterMember &) const = default;
};

}
