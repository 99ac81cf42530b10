#pragma once

#include "callerrequest.h"

#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/net/httpreply.h"

#include <string>

namespace Cyclamen
{

/// Answers GET /v1/entry: the address of the entry that the caller should use, for how long, and a ticket.
HttpReply answerEntry(const CallerRequest &request, const FleetView &view, const std::string &ticket);

}
