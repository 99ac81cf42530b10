#pragma once

#include "cyclamencross/base/runoutcome.h"
#include "cyclamencross/base/timing.h"
#include "cyclamencross/net/httpreply.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// An answer that is not a success, in the caller's terms.
struct CallerError
{
    int status = 500;
    std::string type; ///< A few fixed words joined by '-', for example "no-capacity".
    std::string message;
    RunOutcome outcome = RunOutcome::NotRun;
    std::optional<Millis> retryAfter = std::nullopt; ///< Before jitter.

    bool operator==(const CallerError &) const = default;
};

/// Returns the JSON text `{"error":{...}}` of @p error.
std::string errorJson(const CallerError &error, const std::string &requestId);

/// Returns the whole HTTP reply for @p error, with `Run-Outcome` and a `Retry-After` of 1 to 2 times the given delay,
/// rounded up to seconds, so that refused callers do not all return at once.
HttpReply errorReply(const CallerError &error, const std::string &requestId);

/// Returns the type in the error that @p reply holds; empty if it holds none.
std::string errorType(const HttpReply &reply);

}
