#pragma once

#include "cyclamencross/base/runoutcome.h"
#include "cyclamencross/net/httpreply.h"

#include <string>

namespace Cyclamen
{

/// Returns an error reply of the admin port, with the body `{"error":{"type","message"}}` and the header `Run-Outcome`.
HttpReply adminError(int status, RunOutcome outcome, const std::string &type, const std::string &message);

/// Returns the reply to a request that is refused before any work, so with the outcome not-run.
HttpReply adminRefusal(int status, const std::string &type, const std::string &message);

}
