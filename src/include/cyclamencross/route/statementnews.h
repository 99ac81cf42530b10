#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// What an instance of a backend server has said of itself, as a router tells it to its peers.
struct StatementNews
{
    std::string address; ///< At which the instance is registered.
    std::int64_t startUnixMillis = 0; ///< See BackendServer::startUnixMillis; 0 if not known.
    Millis leavingAge{-1}; ///< Time since it first said that it leaves, before the report; negative if it did not.
    Millis pauseLeft{0}; ///< Time after the report until the end of the sender's pause; 0 if there is none.

    bool operator==(const StatementNews &) const = default;
};

}
