#pragma once

#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/backendwork.h"
#include "cyclamencross/route/slowdown.h"

#include <cstdint>
#include <optional>

namespace Cyclamen
{

/// A backend server that may take a request, with its known load and health.
struct PlacementCandidate
{
    BackendServer server;
    BackendWork work; ///< Work placed by all routers.
    /// Running and queued calls that the backend server itself reported in a recent answer. Unset if not known, or if
    /// `work` is just as accurate.
    std::optional<std::int64_t> reportedCalls;
    bool workIsEstimated = false; ///< `work` is extrapolated from the work of one of several router groups.
    bool isShared = false; ///< Routers of several groups use it, so `work` is older than that of other candidates.
    bool ofOtherGroup = false; ///< Another group of routers uses it, whose work there is not in `work`.
    bool reservationRefused = false; ///< The backend server recently refused a capacity reservation.
    bool atNamedLimit = false; ///< It must get no request of this router now; see NamedRateLimits.
    bool isPausedForPeer = false; ///< It has told another router to pause; a sign that it is short of capacity.
    bool avoided = false; ///< To be used only if no other backend server can serve the request.
    double failureRate = 0; ///< From 0 to 1.
    double slowness = 1; ///< Time for a generated token relative to the average engine.
    Slowdown toldSlowdown; ///< Pace of its machine as it tells itself.
    double prefillMillisPerToken = 0; ///< Prefill time in milliseconds per prompt token; 0 if not known.
    /// Prefill time assumed until an engine has processed its first prompt, in milliseconds per prompt token.
    static constexpr double DefaultMillisPerToken = 0.02;
    /// Returns the prefill time in milliseconds per prompt token, or the default if it is not known.
    double expectedMillisPerToken() const
    {
        return this->prefillMillisPerToken > 0 ? this->prefillMillisPerToken : DefaultMillisPerToken;
    }

    /// In the availability zone of the router, or of the engine that holds the request's KV cache.
    bool sameZone = true;

    bool operator==(const PlacementCandidate &) const = default;
};

}
