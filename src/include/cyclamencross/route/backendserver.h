#pragma once

#include "cyclamencross/route/enginestage.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// One registered backend server.
struct BackendServer
{
    std::string id; ///< Names one incarnation in most cases; some restarts keep it.
    std::string service;
    std::string address; ///< "IP:PORT"; used again by others after this backend server is gone.
    std::string zone; ///< Availability zone.
    bool draining = false; ///< Leaves soon and takes no new work.
    EngineStage stage = EngineStage::None;
    int slots = 0; ///< Requests it runs at the same time.
    std::int64_t bornUnixMillis = 0; ///< Start of this incarnation; 0 if not told.

    bool operator==(const BackendServer &) const = default;
};

}
