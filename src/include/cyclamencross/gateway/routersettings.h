#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// The settings of one router process, read from an INI file.
struct RouterSettings
{
    std::string name;
    std::string zone; ///< Availability zone.
    std::string callerAddress; ///< "IP:PORT" for callers.
    std::string readyAddress; ///< "IP:PORT" for the readiness check.
    std::string directoryAddress; ///< "IP:PORT" where callers ask for an address.
    std::string peerAddress; ///< "IP:PORT", UDP, for other routers.
    std::string metricsAddress; ///< "IP:PORT"; empty: none.
    std::string storeAddress; ///< "IP:PORT" of the key-value store.

    std::size_t memoryMiB = 96; ///< Memory that the process may use.
    std::size_t descriptors = 1024; ///< File descriptors that the process may use.

    Millis stopGrace{8000}; ///< From the stop signal until the process is killed.
    Millis minLeaseLifetime{1000}; ///< Shortest lease the store grants.
    Millis heartbeatPeriod{1200}; ///< Between two registrations of a backend server.
    double retryRatio = 0.2; ///< Retries that the fleet may make for each request.
    double retrySlack = 100; ///< Retries that the fleet may make besides, in a window.
    Millis retryWindow{10000};
    int answerTtlMaxSeconds = 5; ///< Longest time that callers keep an address.

    bool operator==(const RouterSettings &) const = default;
};

/// Reads and checks the settings in @p path. Unknown sections and keys are ignored, since the platform may add some.
/// @return the settings, or InvalidSetting for the first fault.
boost::leaf::result<RouterSettings> loadRouterSettings(const std::string &path);

}
