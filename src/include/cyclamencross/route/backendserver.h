#pragma once

#include "cyclamencross/route/enginestage.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// A backend server as it is registered in the store.
struct BackendServer
{
    std::string id; ///< Usually unique to one incarnation, but some restarts keep it.
    std::string service;
    std::string address; ///< "IP:PORT"; may be reused by another backend server once this one is gone.
    std::string zone; ///< Availability zone.
    bool draining = false; ///< Shutting down soon; accepts no new requests.
    EngineStage stage = EngineStage::None;
    int slots = 0; ///< Number of requests it runs concurrently.
    /// Start time of this incarnation in milliseconds since the Unix epoch; 0 if not known.
    std::int64_t startUnixMillis = 0;
    std::string version = std::string(); ///< Of its software. Has no order.

    bool operator==(const BackendServer &) const = default;
};

}
