#pragma once

#include "cyclamencross/base/timing.h"

#include <string>

namespace Cyclamen
{

/// States that a request with a crash suspect was served, at least in part, although calls with it had crashed.
struct ServedSuspect
{
    std::string name; ///< See CrashSuspect::name.
    Millis age{0}; ///< Time since the output of the request.
    Millis outputTime{0}; ///< From the first output on; CrashAttribution::WholeAnswer at the end of the answer.

    bool operator==(const ServedSuspect &) const = default;
};

}
