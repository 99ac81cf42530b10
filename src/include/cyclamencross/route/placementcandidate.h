#pragma once

#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/backendwork.h"

namespace Cyclamen
{

/// A backend server that may take a request, with what is known of it.
struct PlacementCandidate
{
    BackendServer server;
    BackendWork work; ///< Placed by all routers.
    bool full = false; ///< Refused a reservation of room a moment ago.
    bool avoided = false; ///< To be used only if no other can serve.
    double failureRate = 0; ///< From 0 to 1.
    double prefillPace = 0; ///< Milliseconds for each prompt token.
    bool sameZone = true; ///< In the availability zone of the router or of the memory it needs.

    bool operator==(const PlacementCandidate &) const = default;
};

}
