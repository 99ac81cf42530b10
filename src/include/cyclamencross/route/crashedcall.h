#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/crashsuspect.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A call that was running when its backend server crashed.
struct CrashedCall
{
    std::uint64_t id = 0; ///< Identifies the call among those of all routers.
    std::string backend; ///< Id of the backend server.
    std::vector<CrashSuspect> suspects; ///< From the most general to the most specific.
    Millis age{0}; ///< Time since the crash.
    Millis duration{0}; ///< From the sending of the call to the crash.
    Millis outputTime{0}; ///< From the first output to the crash; 0 if there was none.

    bool operator==(const CrashedCall &) const = default;
};

}
