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
    std::string directoryAddress; ///< "IP:PORT" where callers look up router addresses; empty: none.
    std::string peerAddress; ///< "IP:PORT" of the UDP socket for other routers.
    std::string metricsAddress; ///< "IP:PORT"; empty: none.
    std::string storeAddress; ///< "IP:PORT" of the key-value store.

    /// Whether groups of routers follow the availability zones where these have enough routers; see GroupPlan. Must be
    /// the same at all routers: those that disagree count on peers that do not report to them.
    bool groupsByZone = true;

    /// Share of the memory limit that the bodies of all requests and responses together may take. Caller connections
    /// take another 0.4 at the most; the rest is for everything else.
    static constexpr double BodyMemoryShare = 0.4;

    std::size_t memoryMiB = 96; ///< Memory limit of the process.
    std::size_t descriptors = 1024; ///< Maximum number of file descriptors of the process.
    double linkMegabits = 10; ///< Capacity of the host's link in Mbit/s; the default is that of the smallest hosts.

    /// Time after which a confirmed configuration must be in force, and after which a backend server that leaves must
    /// not get requests.
    Millis configBound{2000};
    Millis drainBound{2000};
    Millis stopGrace{8000}; ///< Grace period from the stop signal until the platform kills the process.
    Millis minLeaseLifetime{1000}; ///< Shortest lease that the store grants.
    Millis heartbeatPeriod{1200}; ///< Interval at which backend servers renew their registrations.
    double retryRatio = 0.2; ///< Retries that the whole fleet may make per request in a window.
    double retrySlack = 100; ///< Retries that the whole fleet may make in addition, in a window.
    Millis retryWindow{10000}; ///< Sliding window of the retry budget.
    Millis orderPause{3000}; ///< Shortest time between the orders of two routers to the same engine.
    Millis revokeTime{10000}; ///< Time after which a removed API key must not be served any more.
    /// A router that cannot be certain that it knows of all keys removed before revokeTime serves no request that needs
    /// a key.
    bool strictRevoke = false;
    /// The whole system starts for the first time, so that nothing of the quotas of workspaces can have been used.
    bool bootstrap = false;
    /// How far the use of a workspace in some seconds may exceed its quota beyond a tenth, in requests or tokens.
    double quotaSlack = 0;
    Millis maxAddressTtl{5000}; ///< Longest time for which callers may cache an address.

    /// Returns the memory that the bodies of all requests and responses together may take, in bytes.
    std::size_t bodyMemoryBytes() const;

    bool operator==(const RouterSettings &) const = default;
};

/// Reads and validates the settings in the INI file @p path. Unknown sections and keys are ignored, since the platform
/// may add some.
/// @return the settings, or InvalidSetting for the first invalid or missing key.
boost::leaf::result<RouterSettings> loadRouterSettings(const std::string &path);

/// Returns @p settings with one of them replaced by a value of the environment, unless that is empty and the setting is
/// optional.
/// @param key "SECTION.KEY" as in the INI file.
/// @return the settings, or InvalidSetting if @p value is not valid or there is no such key.
boost::leaf::result<RouterSettings> withSetting(RouterSettings settings, const std::string &key,
                                                const std::string &value);

}
