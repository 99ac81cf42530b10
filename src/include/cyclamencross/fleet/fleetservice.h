#pragma once

#include "cyclamencross/base/callrecord.h"
#include "cyclamencross/base/crashreport.h"
#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/settings.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class ControlSystem;
class DatagramPort;
class Metrics;

/// Maintains this entry's view of the fleet: members, backend servers and configuration. Methods are thread-safe.
class FleetService
{
public:
    FleetService(const Settings &settings, std::uint64_t incarnation, ControlSystem &control, DatagramPort &port,
                 Metrics &metrics);
    /// Stops the threads and the actor.
    ~FleetService();
    FleetService(const FleetService &) = delete;
    FleetService &operator=(const FleetService &) = delete;

    /// Starts gossiping, polling the host list and watching the configuration.
    void start();
    /// Returns the latest snapshot; never null.
    FleetViewPtr view() const;

    /// Announces by gossip that this entry is draining. Waits up to 500 ms for the control thread.
    void beginDrain();
    /// Announces by gossip that this entry has left. Waits up to 500 ms for the control thread.
    void leave();
    /// Sets the number of requests in progress, which gossip spreads as the load of this entry.
    void setLoad(std::uint32_t requests);

    /// Records a crash and spreads it by gossip. Waits up to 500 ms for the control thread.
    void reportCrash(const CrashReport &report);
    /// Returns the crash records that are still in force.
    std::vector<CrashReport> crashes() const;
    /// Lifts the containment of requests with @p fingerprint in the whole fleet. Waits up to 500 ms for the control
    /// thread.
    void liftCrash(std::uint64_t fingerprint);

    /// Creates the record of a call unless a record with its key exists. Blocks.
    /// @return the stored record: @p proposed if this attempt created it, else the earlier one;
    /// or KeyValueUnavailable, in which case the record may not exist and the call must not run.
    boost::leaf::result<CallRecord> createCallRecord(const CallRecord &proposed);
    /// Marks the record as finished. Blocks. Failures are only logged, since the record prevents a second run in any
    /// case.
    void finishCallRecord(const CallRecord &record);

    /// Returns the configuration in force as INI text.
    std::string configText() const;
    /// Stores a new configuration by compare-and-swap. Blocks.
    /// @param text INI text of the change.
    /// @param baseRevision the revision that the change is based on.
    /// @param changeId unique id of the change, by which a retry recognizes that the change is already stored.
    /// @return the new revision, or RevisionConflict, InvalidSetting or KeyValueUnavailable.
    boost::leaf::result<std::uint64_t> applyConfig(const std::string &text, std::uint64_t baseRevision,
                                                   const std::string &changeId, const std::string &author);
    /// Returns the INI texts of the last revisions (up to 100), newest first; or KeyValueUnavailable. Blocks.
    boost::leaf::result<std::vector<std::string>> configHistory();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
