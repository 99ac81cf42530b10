#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// The settings of one entry process, read from an INI file. Built by loadSettings() or by a test.
struct Settings
{
    std::string name;
    std::string region;
    std::string zone;
    std::string callerAddress; ///< "IP:PORT" for callers.
    std::string adminAddress; ///< "IP:PORT" for operators and peers.
    std::string gossipAddress; ///< "IP:PORT", UDP.
    std::string keyValueAddress;
    std::string hostListAddress;
    std::vector<std::string> joinAddresses; ///< Gossip addresses of peers to start from.
    std::string sharedKey; ///< At least 32 characters.
    std::size_t maxBodyBytes = 8U << 20U;
    std::size_t maxConnections = 512;
    std::size_t adminThreads = 32;
    Millis connectTimeout{250};
    Millis idleTimeout{10000}; ///< For silent callers.
    Millis backendTimeout{30000}; ///< For silent backend servers.
    Millis keyValueTimeout{500};
    Millis hostListPeriod{1000};
    Millis probePeriod{500};
    Millis probeTimeout{200};
    Millis suspicion{3000};
    Millis isolatedAfter{10000};
    Millis drainMargin{2000}; ///< Added to the fleet's answer TTL before a draining entry stops accepting.
    Millis loadPollPeriod{250};
    Millis orphanSweepPeriod{1000};

    bool operator==(const Settings &) const = default;
};

/// Reads and checks the settings in @p path.
/// @return the settings, or InvalidSetting for the first fault: unknown key, wrong type, missing unit, out of range.
boost::leaf::result<Settings> loadSettings(const std::string &path);

}
