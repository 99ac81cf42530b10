#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/requestkind.h"
#include "cyclamencross/route/weightedservice.h"

#include <string>
#include <vector>

namespace Cyclamen
{

/// Configuration of a route: which requests it matches and how they are handled.
struct RouteConfig
{
    std::string name;
    std::string host; ///< Without a port, in lower case.
    std::string pathPrefix; ///< Begins and ends with '/'.
    RequestKind kind = RequestKind::NonIdempotent;
    Millis timeout{0}; ///< Longest time until the caller gets the final answer.
    Millis targetLatency{0}; ///< Latency target; for streams, of the first event.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services; ///< Services among which the requests are split.
    int maxAttempts = 1; ///< Number of backend servers that one request may be sent to.
    bool resumable = false; ///< A broken stream may continue at another engine after the last event sent.
    bool isPublic = false; ///< Requests need no API key, even if the configuration has workspaces.
    Millis eventGapTarget{0}; ///< Longest pause between two events of a stream that counts as on time.

    /// Returns whether a request of this route may be sent again although it may have run.
    bool mayRepeat() const;

    bool operator==(const RouteConfig &) const = default;
};

}
