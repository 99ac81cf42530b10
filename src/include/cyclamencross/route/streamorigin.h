#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A stream that can be taken up, as routers tell each other of it.
struct StreamOrigin
{
    std::uint64_t key = 0; ///< See StreamOrigins::keyOf().
    Millis left{0}; ///< Time for which it can still be taken up.

    bool operator==(const StreamOrigin &) const = default;
};

/// Streams by the software version at which they began.
using StreamOriginsByVersion = std::map<std::string, std::vector<StreamOrigin>>;

}
