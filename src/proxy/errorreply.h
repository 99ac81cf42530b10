#pragma once

#include "cyclamencross/base/runoutcome.h"
#include "cyclamencross/base/timing.h"
#include "cyclamencross/net/httpreply.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// An error as reported to the caller.
struct CallerError
{
    int status = 500;
    std::string type; ///< Machine-readable error type, for example "no-capacity".
    std::string message;
    RunOutcome outcome = RunOutcome::NotRun;
    std::optional<Millis> retryAfter = std::nullopt; ///< Without jitter; see errorReply().

    bool operator==(const CallerError &) const = default;
};

/// Returns @p error as JSON, `{"error":{...}}`.
std::string errorJson(const CallerError &error, const std::string &requestId);

/// Returns the HTTP reply for @p error, with `Run-Outcome`. If a delay is given, `Retry-After` is a random value
/// between 1 and 2 times the delay, rounded up to seconds, so that refused callers do not all retry at the same time.
HttpReply errorReply(const CallerError &error, const std::string &requestId);

/// Returns the error type in the body of @p reply; empty if there is none.
std::string errorType(const HttpReply &reply);

}
