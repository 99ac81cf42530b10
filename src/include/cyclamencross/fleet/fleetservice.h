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

/// Keeps this entry's view of the fleet: members, backend servers and configuration. Its methods are thread-safe.
class FleetService
{
public:
    FleetService(const Settings &settings, std::uint64_t incarnation, ControlSystem &control, DatagramPort &port,
                 Metrics &metrics);
    /// Stops its threads and actors.
    ~FleetService();
    FleetService(const FleetService &) = delete;
    FleetService &operator=(const FleetService &) = delete;

    /// Starts gossip, the host list poll and the configuration watch.
    void start();
    /// Returns the newest snapshot; never null.
    FleetViewPtr view() const;

    /// Gossips that this entry is draining.
    void beginDrain();
    /// Gossips that this entry has left.
    void leave();
    /// Sets the number of requests in progress, which gossip carries.
    void setLoad(std::uint32_t requests);

    /// Records a crash here and spreads it.
    void reportCrash(const CrashReport &report);
    /// Returns the crash records that are still in force.
    std::vector<CrashReport> crashes() const;
    /// Lifts the containment of @p fingerprint in the whole fleet.
    void liftCrash(std::uint64_t fingerprint);

    /// Creates the record of a call unless its key has one already.
    /// @return the record that stands: @p wanted if this attempt created it, else the earlier one;
    /// or KeyValueUnavailable, in which case it is not known to stand and the call must not run.
    boost::leaf::result<CallRecord> createCallRecord(const CallRecord &wanted);
    /// Marks the record as finished; a failure is logged only, since the record already prevents a second run.
    void finishCallRecord(const CallRecord &record);

    /// Returns the configuration in force as INI text.
    std::string configText() const;
    /// Stores a new configuration by compare-and-swap.
    /// @param text INI text of the change.
    /// @param baseRevision the revision that the operator read.
    /// @param changeId unique id of the change; finding it stored resolves a lost answer.
    /// @return the new revision, or RevisionConflict, InvalidSetting or KeyValueUnavailable.
    boost::leaf::result<std::uint64_t> applyConfig(const std::string &text, std::uint64_t baseRevision,
                                                   const std::string &changeId, const std::string &author);
    /// Returns the INI texts of the last revisions (up to 100), the newest first; or KeyValueUnavailable.
    boost::leaf::result<std::vector<std::string>> configHistory();

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
