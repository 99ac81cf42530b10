#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// A fault that an emulator applies to requests until it is used up or cleared. docs/emulator.md lists the kinds.
struct Fault
{
    std::uint64_t id = 0;
    std::string kind;
    std::string pathPrefix; ///< Prefix of the request paths that it applies to; empty for all.
    std::string bodyText; ///< Text that the request body must contain; empty for all requests.
    int remainingUses = -1; ///< Number of further requests that it applies to; -1 for no limit.
    Millis delay{0};
    int afterEvents = 0; ///< For streams: the number of events before it applies.
    int status = 503; ///< HTTP status of an "error" fault.
};

}
