#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/statementsource.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// What one instance of a backend server has said of itself. The rate of its limit on requests is kept by
/// NamedRateLimits.
struct BackendStatement
{
    std::string address; ///< At which the instance is registered.
    std::int64_t startUnixMillis = 0; ///< See BackendServer::startUnixMillis; 0 if not known.
    std::optional<TimePoint> leavingSince; ///< When it first said that it leaves.
    StatementSource leavingSource = StatementSource::OwnAnswer;
    std::optional<TimePoint> pausedAt; ///< When it last told this router to pause.
    TimePoint pausedUntil; ///< End of the pause.
    std::optional<TimePoint> pausedForPeerUntil; ///< End of the pause of another router.
    bool hasLimit = false; ///< Whether NamedRateLimits holds a limit that it has named.
    std::optional<TimePoint> removedAt; ///< When its registration was found to be gone.

    bool operator==(const BackendStatement &) const = default;
};

}
