#pragma once

#include <string>

namespace Cyclamen
{

/// Something that may make every backend server crash which begins to run a request with it: a part of the prompt or
/// the whole request.
struct CrashSuspect
{
    std::string name; ///< The same at all routers, such as "part:5c1e07a2".
    bool servedBefore = false; ///< A request with it has been served, as far as known.

    bool operator==(const CrashSuspect &) const = default;
};

}
