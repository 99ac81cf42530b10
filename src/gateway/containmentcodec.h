#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/containment.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Cyclamen
{

/// Encodes containments by suspect as the value of a store item. Their times are stored as wall-clock times.
/// @param unixNow wall-clock time at @p now, in seconds since the Unix epoch.
std::string encodeContainments(const std::map<std::string, Containment> &containments, TimePoint now,
                               std::int64_t unixNow);
/// Decodes the value of a store item; std::nullopt if it is malformed. The time of a crash is at most one period before
/// @p now and never after it, since the clocks of hosts differ and jump.
std::optional<std::map<std::string, Containment>> decodeContainments(const std::string &text, TimePoint now,
                                                                     std::int64_t unixNow);

}
