#pragma once

#include "heldrequest.h"
#include "requestorigin.h"

#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/timing.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Cyclamen
{

/// Finds orphaned requests on engines: those whose entry is gone. Thread-safe.
///
/// A request is an orphan immediately if its entry incarnation is dead, has left or was replaced by a newer one; after
/// the suspicion time if its incarnation is not among the known members; and after UnattachedLimit without a
/// connection. The times are measured from this tracker's first observation, so a new owner never cancels sooner than
/// the former one.
class OrphanTracker
{
public:
    struct Orphan
    {
        std::string requestId;
        std::string_view reason; ///< Identifier for logs and metrics.

        bool operator==(const Orphan &) const = default;
    };

    /// Time without a connection after which a request is an orphan.
    static constexpr Millis UnattachedLimit{5000};

    /// @param suspicion time after which a request of an unknown incarnation is an orphan.
    explicit OrphanTracker(Millis suspicion);

    /// Processes an engine's request list and returns the requests to cancel. Returns none while the view is isolated,
    /// since all other entries look dead to an isolated one.
    std::vector<Orphan> update(const std::string &engine, const std::vector<HeldRequest> &list, const FleetView &view,
                               TimePoint now);
    /// Removes the observations of an engine that this entry no longer owns.
    void forget(const std::string &engine);
    /// Returns whether @p requestId belongs to an incarnation that is dead, has left or was replaced. Returns false
    /// while the view is isolated.
    bool isDead(const std::string &requestId, const FleetView &view);

private:
    enum class Liveness { Alive, Dead, Unknown };
    struct Observation
    {
        TimePoint unknownSince;
        TimePoint unattachedSince;
    };
    struct EngineRecord
    {
        TimePoint updated;
        std::map<std::string, Observation> requests;
    };
    void updateIncarnations(const FleetView &view);
    Liveness livenessOf(const std::string &requestId, const FleetView &view) const;

    mutable std::mutex mutex;
    Millis suspicion;
    const FleetView *lastView = nullptr; // compared only, never dereferenced
    std::map<std::string, std::uint64_t> latestIncarnations;
    std::set<std::pair<std::string, std::uint64_t>> replacedIncarnations;
    std::map<std::string, EngineRecord> engines;
};

}
