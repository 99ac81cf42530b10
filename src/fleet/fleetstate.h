#pragma once

#include "departures.h"
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

/// All control state of FleetService. Used on the control thread only; time is passed in.
class FleetState
{
public:
    struct Hooks
    {
        std::function<void(const std::string &address, DatagramKind kind, const std::string &payload)> send;
        std::function<void(FleetViewPtr)> publish;
        std::function<void(std::vector<CrashReport>)> publishCrashes;
        /// Orders the configuration of a peer.
        std::function<void(const std::string &adminAddress, std::uint64_t revision)> fetchConfig;
        /// Tells the place of this entry among the configuration watchers of its availability zone.
        std::function<void(std::optional<std::size_t>)> watchRank;
    };

    /// A change of loads alone replaces the snapshot no more often than this, since a snapshot copies the lists.
    static constexpr Millis LoadPublishPeriod{1000};

    FleetState(const Settings &settings, const Member &self, Hooks hooks, TimePoint now);

    void tick(TimePoint now, std::int64_t unixTime, std::uint32_t load);
    /// @return false if the payload is malformed.
    bool receive(const Datagram &datagram, TimePoint now, std::int64_t unixTime);
    void takeHostList(const HostList &list, TimePoint now);
    void takeConfig(std::shared_ptr<const FleetConfig> config, TimePoint now);
    void drain(TimePoint now);
    void leave(TimePoint now);
    void reportCrash(const CrashReport &report, std::int64_t unixTime);
    void liftCrash(std::uint64_t fingerprint, std::int64_t unixTime);

private:
    bool hearDeparture(const BackendNews &news);
    void publish(TimePoint now);
    void publishCrashes(std::int64_t unixTime);
    void updateWatchRank();
    bool isIsolated(TimePoint now) const;

    Settings settings;
    Hooks hooks;
    std::int64_t unixNow = 0; ///< Time of the message being processed.
    TimePoint now; ///< The same on the steady clock.
    Membership membership;
    CrashLedger crashes;
    Departures departures;
    bool departuresHeard = false;
    std::vector<Backend> backends;
    bool ready = false;
    std::shared_ptr<const FleetConfig> config = std::make_shared<const FleetConfig>();
    TimePoint started;
    std::optional<TimePoint> lastHostList;
    bool isolated = false;
    bool dirty = true;
    std::uint64_t publishedState = 0;
    std::uint64_t publishedLoad = 0;
    TimePoint lastPublished;
    TimePoint lastCrashPublished;
};

}
