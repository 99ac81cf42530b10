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

/// Finds the requests on engines whose caller's entry is gone. Thread-safe.
///
/// A request is an orphan at once if its entry incarnation is dead, has left or was replaced by a newer one; after the
/// suspicion time if membership does not know the incarnation; and after UnattachedLimit without a connection. Times
/// count from this tracker's own observations, so a new owner never cancels sooner than the former one.
class OrphanTracker
{
public:
    struct Orphan
    {
        std::string requestId;
        std::string_view reason;

        bool operator==(const Orphan &) const = default;
    };

    static constexpr Millis UnattachedLimit{5000};

    explicit OrphanTracker(Millis suspicion);

    /// Takes an engine's list and returns the requests to cancel. An isolated view names none, since to an isolated
    /// entry all others look dead.
    std::vector<Orphan> update(const std::string &engine, const std::vector<HeldRequest> &list, const FleetView &view,
                               TimePoint now);
    /// Forgets an engine that this entry no longer owns.
    void forget(const std::string &engine);
    /// Returns whether @p requestId belongs to an incarnation that is dead, left or replaced.
    bool isDead(const std::string &requestId, const FleetView &view);

private:
    enum class Standing { Alive, Dead, Unknown };
    struct Observed
    {
        TimePoint unknownSince;
        TimePoint unattachedSince;
    };
    struct Engine
    {
        TimePoint updated;
        std::map<std::string, Observed> requests;
    };
    void learn(const FleetView &view);
    Standing standing(const std::string &requestId, const FleetView &view) const;

    mutable std::mutex mutex;
    Millis suspicion;
    const FleetView *learned = nullptr; // only compared, never read
    std::map<std::string, std::uint64_t> newest;
    std::set<std::pair<std::string, std::uint64_t>> replaced;
    std::map<std::string, Engine> engines;
};

}
