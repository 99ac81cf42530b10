#pragma once

#include "virtualrouter_test.h"
#include "virtualstore_test.h"
#include "virtualtime_test.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A rule that a router broke.
struct Violation
{
    std::string rule;
    std::string detail;
    std::int64_t millis = 0; ///< Since the start of the schedule.
};

/// The rules that routers keep, checked against what the store has acknowledged.
class Invariants
{
public:
    /// Time of undisturbed running after which a router counts as in touch.
    static constexpr Millis TouchTime{3000};
    /// Time from the acknowledgement of a change to its effect at routers in touch.
    static constexpr Millis ChangeTime{2000};
    /// Time after an outage within which live backend servers register again.
    static constexpr Millis ReturnTime{2000};
    /// Time after ReturnTime by which other entries are gone.
    static constexpr Millis ReturnMargin{1000};
    /// Shortest time between the orders of two routers.
    static constexpr Millis OrderPause{3000};
    /// Time of undisturbed running after which a router that was started again is ready.
    static constexpr Millis ReadyTime{5000};

    /// Time from a return of the store by which routers that reach it are registered again.
    static constexpr Millis RegisterTime{3500};

    Invariants(VirtualTime &time, VirtualStore &store);

    /// Records a change that the store has executed.
    void recordChange(const StoreItem &item);
    /// Records that a router is disturbed for a while.
    void recordDisturbance(std::size_t router, Millis duration);
    /// Records that the store is disturbed for a while, for all routers.
    void recordStoreDisturbance(Millis duration);
    /// Records that the store is away for a while, for everybody.
    void recordOutage(Millis duration);
    /// Records that the store is away for a while and then returns from an older copy.
    void recordReturnBegin(Millis duration);
    /// Records that the store has returned from an older copy.
    /// @param serving backend servers that run and do not leave.
    /// @param leaving those that have told that they leave, or removed their entry.
    void recordReturn(const std::set<std::string> &serving, const std::set<std::string> &leaving);
    /// Records that the owner of an entry does not renew it any more.
    void recordStopped(const std::string &backend);
    /// Records that a router gives an order, or may give one now.
    void recordOrder(const VirtualRouter &router, std::uint64_t token);
    /// Checks the rules that @p router may break now.
    void check(const VirtualRouter &router);

    /// Returns the index of the router that gave the last order; std::nullopt if there was none.
    std::optional<std::size_t> lastToOrder() const;

    std::optional<Violation> violation; ///< The first one.

private:
    /// What the store says of one backend server.
    struct BackendTruth
    {
        bool usable = false;
        TimePoint changedAt;
        bool stopped = false; ///< The owner does not renew the entry.
        bool lapsed = false; ///< The entry expired during the last outage and is not back.
        TimePoint returnedAt; ///< Time at which it was back after that outage, if it was in time.
        bool lost = false; ///< A router that should keep it does not.
        bool kept = false; ///< Served before and after the last returns of the store, whatever the copies lack.
        /// Told that it leaves, ChangeTime or more before a return of the store that follows the one before by
        /// TouchTime or more.
        bool left = false;
        TimePoint leftAt; ///< When it told that, if left is set.
    };

    /// Returns the name of a router and what it takes for true of the store.
    std::string describe(const RouterState &state) const;
    void fail(const std::string &rule, const std::string &detail);
    void checkBackend(const VirtualRouter &router, const std::string &id, BackendTruth &backend);
    /// Returns whether @p router and the store have been undisturbed for @p duration.
    bool isUndisturbed(const VirtualRouter &router, Millis duration) const;
    /// Returns whether the last outage is the only disturbance that the router has had for a while.
    bool knowsOnlyOutage(const VirtualRouter &router) const;
    /// Returns whether the router has had no disturbance from TouchTime before @p begin on, except for returns of the
    /// store.
    bool knowsOnlyReturnsSince(const VirtualRouter &router, TimePoint begin) const;
    /// Checks the rules on returns of the store.
    void checkRegistration(const VirtualRouter &router);
    void checkReturned(const VirtualRouter &router, const std::string &id, const BackendTruth &backend, bool used);
    /// Records what a change after a return of the store means for the rules on returns.
    void recordChangeAfterReturn(BackendTruth &backend, bool usable);

    VirtualTime &time;
    VirtualStore &store;
    std::map<std::size_t, TimePoint> disturbedUntil; ///< By router; outages not included.
    TimePoint storeDisturbedUntil; ///< Outages not included.
    TimePoint outageBegin;
    TimePoint outageEnd;
    TimePoint returnsBegin; ///< Begin of the first return of the last series.
    TimePoint returnEnd; ///< End of the last return.
    TimePoint lastReturn; ///< The last return that has happened.
    std::map<std::size_t, TimePoint> registeredAt; ///< By router.
    std::map<std::string, BackendTruth> backends;
    std::vector<std::pair<std::uint64_t, TimePoint>> versions; ///< Of the configuration, with their times.
    std::map<std::size_t, std::pair<std::uint64_t, std::uint64_t>> seenVersions; ///< By router: incarnation, version.
    std::optional<std::pair<std::size_t, std::uint64_t>> lastOrderer; ///< Router and incarnation.
    TimePoint lastOrder;
    std::uint64_t highestToken = 0;
};

}
