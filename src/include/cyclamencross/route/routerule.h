#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/requestkind.h"
#include "cyclamencross/route/weightedservice.h"

#include <string>
#include <vector>

namespace Cyclamen
{

/// One route of the configuration: which requests it takes and how they are treated.
struct RouteRule
{
    std::string name;
    std::string host; ///< Without a port, in lower case.
    std::string pathPrefix; ///< Begins and ends with '/'.
    RequestKind kind = RequestKind::NonIdempotent;
    Millis timeout{0}; ///< Longest time a caller is kept waiting for the final answer.
    Millis targetLatency{0}; ///< For streams up to the first event.
    int priority = 0; ///< 0 is the most urgent.
    std::vector<WeightedService> services;
    int maxAttempts = 1; ///< Backend servers that one request may be sent to.
    bool resumable = false; ///< A stream may go on at another engine after its last event.
    Millis gapTarget{0}; ///< Longest pause between two events of a stream that is still on time.

    /// Returns whether a request of this route may run more than once.
    bool mayRepeat() const;

    bool operator==(const RouteRule &) const = default;
};

}
