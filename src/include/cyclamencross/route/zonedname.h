#pragma once

#include <string>

namespace Cyclamen
{

/// The name of a router or backend server and the availability zone that it is in.
struct ZonedName
{
    std::string name;
    std::string zone; ///< Empty if not known.

    bool operator==(const ZonedName &) const = default;
};

}
