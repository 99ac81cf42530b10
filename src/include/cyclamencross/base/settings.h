#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// The settings of one entry process, see loadSettings().
struct Settings
{
    std::string name;
    std::string region;
    std::string zone;
    std::string callerAddress; ///< "IP:PORT" of the listener for callers.
    std::string adminAddress; ///< "IP:PORT" of the listener for operators and peers.
    std::string gossipAddress; ///< "IP:PORT" of the UDP socket for membership and slot messages.
    std::string keyValueAddress; ///< "IP:PORT" of the key-value service.
    std::string hostListAddress; ///< "IP:PORT" of the platform's host list.
    std::vector<std::string> joinAddresses; ///< Gossip addresses of the first peers to contact (seed members).
    std::string sharedKey; ///< Authenticates messages between entries and from operators; 32 to 256 characters.
    std::size_t maxBodyBytes = 8U << 20U;
    std::size_t maxConnections = 512;
    std::size_t adminThreads = 32; ///< Worker threads of the admin port.
    Millis connectTimeout{250};
    Millis idleTimeout{10000}; ///< After which a connection to a silent caller is closed.
    Millis backendTimeout{30000}; ///< After which a request to a silent backend server fails.
    Millis keyValueTimeout{500};
    Millis hostListPeriod{1000};
    Millis probePeriod{500};
    Millis probeTimeout{200};
    Millis suspicion{3000}; ///< Base of the time that a member stays suspect before it counts as dead.
    Millis isolatedAfter{10000}; ///< Time without any message from peers or the platform until the entry is isolated.
    Millis drainMargin{2000}; ///< Time beyond FleetDefaults::answerTtl before a draining entry stops accepting.
    Millis loadPollPeriod{250};
    Millis orphanSweepPeriod{1000};

    bool operator==(const Settings &) const = default;
};

/// Reads and checks the settings in @p path.
/// @return the settings, or InvalidSetting for the first error: an unreadable file, an unknown, repeated or missing
/// key, a wrong type, a missing unit, a value out of range, or keys that contradict each other.
boost::leaf::result<Settings> loadSettings(const std::string &path);

}
