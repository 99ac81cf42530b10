#pragma once

#include "cyclamencross/base/runoutcome.h"
#include "cyclamencross/net/httpreply.h"

#include <string>

namespace Cyclamen
{

/// Returns an error response of the admin port with the body `{"error":{"type","message"}}` and the header
/// `Run-Outcome`.
/// @param outcome whether the request was executed.
HttpReply adminError(int status, RunOutcome outcome, const std::string &type, const std::string &message);

/// Returns the error response to a request that was refused before execution, with the outcome not-run.
HttpReply adminRefusal(int status, const std::string &type, const std::string &message);

}
