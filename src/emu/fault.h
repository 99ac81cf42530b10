#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// One fault that a stand-in shows until it is used up or cleared. docs/emulator.md lists the kinds.
struct Fault
{
    std::uint64_t id = 0;
    std::string kind;
    std::string path; ///< Prefix of the request paths it applies to; empty for all.
    std::string text; ///< It applies only to requests whose body contains this text; empty for all.
    int times = -1; ///< How many more requests it applies to; -1 for no limit.
    Millis delay{0};
    int after = 0; ///< For streams: the number of events before it shows.
    int status = 503;
};

}
