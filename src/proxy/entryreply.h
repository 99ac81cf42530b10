#pragma once

#include "callerrequest.h"

#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/net/httpreply.h"

#include <string>

namespace Cyclamen
{

/// Returns the response to GET /v1/entry: the address of the entry that the caller should use, the time for which to
/// keep using it, and @p ticket.
HttpReply entryReply(const CallerRequest &request, const FleetView &view, const std::string &ticket);

}
