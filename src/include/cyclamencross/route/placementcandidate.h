#pragma once

#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/backendwork.h"

#include <cstdint>
#include <optional>

namespace Cyclamen
{

/// A backend server that may take a request, with what is known of it.
struct PlacementCandidate
{
    BackendServer server;
    BackendWork work; ///< Placed by all routers.
    /// Calls there by its own answer a moment ago; nothing if not known or if `work` is as good.
    std::optional<std::int64_t> callsThere;
    bool estimated = false; ///< `work` is extrapolated from one of several groups of routers.
    bool full = false; ///< Refused a reservation of room a moment ago.
    bool avoided = false; ///< To be used only if no other can serve.
    double failureRate = 0; ///< From 0 to 1.
    double prefillPace = 0; ///< Milliseconds for each prompt token; 0 if not known.
    /// Pace assumed for an engine before any prompt was read, in milliseconds for each token.
    static constexpr double UnknownPace = 0.02;
    /// Returns the pace to reckon with.
    double expectedPace() const
    {
        return this->prefillPace > 0 ? this->prefillPace : UnknownPace;
    }

    bool sameZone = true; ///< In the availability zone of the router or of the memory it needs.

    bool operator==(const PlacementCandidate &) const = default;
};

}
