#pragma once

#include "cyclamencross/net/httpreply.h"

#include <string>

namespace Cyclamen
{

/// Returns the reply to a request that the admin port refuses before any work: a JSON error body of the given type, and
/// `Run-Outcome: not-run`.
HttpReply refusal(int status, const std::string &type, const std::string &message);

}
