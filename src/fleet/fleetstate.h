#pragma once

#include "departuretracker.h"
#include "hostlist.h"
#include "membership.h"

#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/settings.h"
#include "cyclamencross/decide/crashledger.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The control state of FleetService. Used on the control thread only; the current time is passed in.
class FleetState
{
public:
    struct Hooks
    {
        std::function<void(const std::string &address, DatagramKind kind, const std::string &payload)> send;
        std::function<void(FleetViewPtr)> publish;
        std::function<void(std::vector<CrashReport>)> publishCrashes;
        /// Requests the configuration from the peer at @p adminAddress.
        std::function<void(const std::string &adminAddress, std::uint64_t revision)> fetchConfig;
        /// Reports the rank of this entry among the configuration watchers of its availability zone, or nothing if it
        /// is not one of them.
        std::function<void(std::optional<std::size_t>)> setWatchRank;
    };

    /// Minimum time between snapshots if only loads have changed, since each snapshot copies the member and backend
    /// lists.
    static constexpr Millis LoadPublishPeriod{1000};

    FleetState(const Settings &settings, const Member &self, Hooks hooks, TimePoint now);

    /// Does all due work and publishes a snapshot if one is needed. Called periodically.
    /// @param unixTime the current time in Unix seconds.
    /// @param load number of requests in progress.
    void tick(TimePoint now, std::int64_t unixTime, std::uint32_t load);
    /// Processes a gossip datagram.
    /// @return false if the payload is malformed.
    bool receive(const Datagram &datagram, TimePoint now, std::int64_t unixTime);
    void updateHostList(const HostList &list, TimePoint now);
    void updateConfig(std::shared_ptr<const FleetConfig> config, TimePoint now);
    void drain(TimePoint now);
    void leave(TimePoint now);
    void reportCrash(const CrashReport &report, std::int64_t unixTime);
    void liftCrash(std::uint64_t fingerprint, std::int64_t unixTime);

private:
    bool recordDeparture(const BackendDeparture &departure);
    void publish(TimePoint now);
    void publishCrashes(std::int64_t unixTime);
    void updateWatchRank();
    bool isIsolated(TimePoint now) const;

    Settings settings;
    Hooks hooks;
    std::int64_t unixNow = 0; ///< Time of the message being processed, in Unix seconds.
    TimePoint now; ///< The same time on the steady clock.
    Membership membership;
    CrashLedger crashes;
    DepartureTracker departures;
    bool departuresChanged = false; ///< Whether the next tick updates the backend servers.
    std::vector<Backend> backends;
    bool ready = false; ///< Whether a host list was received.
    std::shared_ptr<const FleetConfig> config = std::make_shared<const FleetConfig>();
    TimePoint started;
    std::optional<TimePoint> lastHostList;
    bool isolated = false;
    bool dirty = true; ///< Whether the next tick publishes a snapshot.
    std::uint64_t publishedState = 0;
    std::uint64_t publishedLoad = 0;
    TimePoint lastPublished;
    TimePoint lastCrashPublished;
};

}
