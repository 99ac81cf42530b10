#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/fleetcodec.h"
#include "cyclamencross/gateway/statestore.h"
#include "cyclamencross/route/storereturn.h"
#include "cyclamencross/route/streamorigin.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class RouterState;
class ServiceVersions;
struct StagePlan;
struct StoreChanges;

/// Synchronizes the configuration, the backend servers and the routers in RouterState with the store, and registers
/// this router there. Used from one thread.
class FleetSync
{
public:
    /// Delay after changes during which further ones accumulate, since each watch that returns costs another call of
    /// every watching router.
    static constexpr Millis BatchDelay{150};
    /// The store is read anew if this router is behind a revision that peers have reported for this long, whatever the
    /// watch does.
    static constexpr Millis CatchUpDelay{800};
    /// How long an entry that expired during an outage of the store is kept: live servers register again within two
    /// seconds.
    static constexpr Millis LapseGracePeriod{2000};
    /// Lifetime of this router's registration. A renewal may time out and be repeated on a new connection.
    static constexpr Millis LeaseLifetime{3000};
    static constexpr Millis RenewPeriod{1200};
    /// Backoff after failed calls: doubles with each failure up to MaxBackoff. A timeout of a call, this backoff,
    /// WatcherHeadStart and a read follow one another after an outage.
    static constexpr Millis BaseBackoff{50};
    static constexpr Millis MaxBackoff{700};
    /// Interval between reads while other calls fail, so that a store that refuses only writes still delivers a new
    /// configuration in time.
    static constexpr Millis OutageReadInterval{2000};
    /// Age of the last confirmation up to which the lease counts as certain. The rest of the lifetime is for the work
    /// that depends on it.
    static constexpr Millis LeaseTrust{1800};
    /// Calls after which readChanges() gives up, since new changes may follow each other without end.
    static constexpr int MaxChangeReads = 4;
    /// After a return of the store all routers register again, each after a random part of this interval for each
    /// router: two writes, of the several hundred a second that the platform allows to all routers.
    static constexpr Millis RegistrationInterval{5};
    static constexpr Millis MaxRegistrationSpread{1500};
    /// How long other routers wait, after an outage of the store, for the watchers of the group to read it and report
    /// the changes: a few periods of their reports.
    static constexpr Millis WatcherHeadStart{500};

    FleetSync(RouterState &state, StateStore store, FleetCodec codec);

    /// Applies the items under @p prefix and their changes until the process ends. One router of each group watches the
    /// store and sends changes to its peers, so that the number of calls grows with the number of groups. Two standbys
    /// watch the store while they receive no reports of such a watcher.
    boost::asio::awaitable<void> follow(std::string prefix);
    /// Reads all items under @p prefix anew, until the process ends, whenever the watch may have missed changes: peers
    /// have reported a newer revision for CatchUpDelay, or the store has recovered from an outage.
    boost::asio::awaitable<void> catchUp(std::string prefix);
    /// Reads the changes of the store, until the process ends, whenever StoreFreshness demands it: neither an answer of
    /// the store nor a report of a peer has shown lately that this router knows all changes.
    boost::asio::awaitable<void> keepFresh(std::string prefix);
    /// Registers this router and renews the registration until RouterState::stopping is set.
    boost::asio::awaitable<void> keepRegistered();
    /// Removes this router's registration.
    boost::asio::awaitable<void> unregister();
    /// Tries to become the leader: writes the leader's record under the lease of this router's registration unless
    /// there is one of another process. The result is learned from the store.
    boost::asio::awaitable<void> claimLeadership();
    /// Writes the stage plan, provided that this router is still the leader.
    boost::asio::awaitable<void> writeStagePlan(StagePlan plan);
    /// Writes the containments of crash suspects, unless they have changed in the store in between.
    boost::asio::awaitable<void> writeContainments();
    /// Writes the software versions of the services, unless they have changed in the store in between.
    boost::asio::awaitable<void> writeServiceVersions(ServiceVersions versions);
    /// Writes at which software version streams began, for as long as they can be taken up.
    /// @return whether that has succeeded.
    boost::asio::awaitable<bool> writeStreamOrigins(StreamOriginsByVersion origins);
    /// Returns whether the lease of this router's registration is certain to be in force for a while: the last renewal
    /// is recent, also counting the time for which this host was suspended.
    bool isLeaseConfirmed() const;
    /// Returns whether the store has been in its present generation for @p duration, as far as this router knows; also
    /// if it names no generation.
    bool hasSeenGenerationFor(Millis duration) const;
    /// Removes kept entries whose grace period is over, and applies those that were held.
    void expire(TimePoint now);
    /// Returns the prefix under which routers register.
    static std::string memberPrefix();
    /// Returns the key of the leader's record.
    static std::string leaderKey();
    /// Returns the key of the stage plan.
    static std::string stagePlanKey();
    /// Returns the key of the software versions of the services.
    static std::string serviceVersionsKey();
    /// Returns the prefix of the records of where streams began.
    static std::string streamOriginsPrefix();
    /// Returns the key of the containments of crash suspects.
    static std::string containmentsKey();

private:
    /// Availability of the store as seen by this router's calls.
    struct StoreContact
    {
        TimePoint lastAnswer; ///< Time of the last response of the store.
        bool resyncNeeded = false; ///< The store has recovered and must be read anew.
        TimePoint foundAt; ///< End of the last outage, however short.
    };

    /// Result of readChanges().
    enum class ReadResult {
        InSync, ///< All changes up to the newest revision that peers have reported are known now.
        Incomplete, ///< Changes may be missing, for example because the store has dropped its history.
        Failed, ///< The store did not answer, or refused the call.
    };
    /// Reads and applies the changes since the newest known revision, which costs far less than a read of all items.
    /// Repeats a call that gets no answer once, since an idle connection may have gone silent. A designated watcher
    /// queues the changes for its peers.
    boost::asio::awaitable<ReadResult> readChanges(std::string prefix);
    /// Reads the changes since the newest known revision, or all items if changes may be missing.
    boost::asio::awaitable<ReadResult> readMissing(std::string prefix);
    /// Reads and applies all items under @p prefix and queues the differences for peers.
    /// @return the revision of the read, or std::nullopt if it failed.
    boost::asio::awaitable<std::optional<StoreRevision>> readAll(std::string prefix);
    /// Reads all items under @p prefix and restarts the watch.
    boost::asio::awaitable<ReadResult> readAllAgain(std::string prefix);
    /// Returns whether keepFresh() reads the changes or is about to. A second read of the same changes would halve the
    /// speed of both, which matters for a large configuration over the link of a small host.
    bool keepFreshReads() const;
    /// Logs why this router reads the store although it watches it or is told of its changes.
    void logCatchUp(const std::string &reason) const;
    /// Records the generation of the store that answered a call, or of changes that a peer has read.
    void noteGeneration(std::uint64_t newest);
    /// Gives up what holds in one generation of the store only: the leases of this router and its leadership.
    void beginReturn();
    /// Returns the time over which the routers register again after a return.
    Millis registrationSpread() const;
    bool isOfCurrentGeneration(std::uint64_t generation) const;
    /// Returns whether an item that a list lacks was perhaps lost with a return of the store, instead of removed.
    /// @param known revision of the item that this router knows.
    /// @param removal revision of the list.
    bool mayBeLost(StoreRevision known, StoreRevision removal) const;
    /// Returns the revision up to which the copy of a returned store holds all changes, see StoreChanges.
    /// @param page list of all items of the store.
    StoreRevision findCopiedUpTo(const StorePage &page) const;
    /// Keeps an entry apart, until a return of the store is over, if it is older than what is known of the server.
    /// @return whether it is kept apart.
    bool holdIfOlder(const StoreItem &item, const BackendServer &server);
    /// Writes a record if the item @p conditionKey has the given revision.
    /// @param call name of the call in the log.
    /// @param countsConflicts whether an unmet condition counts as a failure.
    /// @return whether that has succeeded.
    boost::asio::awaitable<bool> writeRecord(std::string call, std::string key, std::string value, std::uint64_t lease,
                                             std::string conditionKey, StoreRevision conditionRevision,
                                             bool countsConflicts);
    /// Returns the newest known revision of an item of the lists or records; 0 if none is known.
    StoreRevision knownRevision(const std::string &key) const;
    /// Logs what a read of the store has brought, other than a watch.
    /// @param start when the read began.
    void logRead(const std::string &call, const StorePage &page, TimePoint start) const;
    /// Takes out a lease and writes this router's registration under it.
    /// @return whether both calls succeeded.
    boost::asio::awaitable<bool> registerOnce();
    /// Applies one item. Leaves RouterState::storeRevision to the caller, which knows up to which revision no change is
    /// missing.
    /// @param isDifference whether the item is part of the difference to a list, in which a removal only means that the
    /// list lacks the item.
    /// @return whether the known state has changed, or will when the return of the store is over.
    bool apply(const StoreItem &item, bool isDifference = false);
    /// Waits until another call to the store succeeds, at most @p maxWait. A router that is not a designated watcher
    /// then gives the watchers a head start.
    boost::asio::awaitable<void> waitForStore(Millis maxWait);
    /// Applies changes.
    /// @param revision newest revision that they cover.
    /// @param isDifference see apply().
    void applyAll(const std::vector<StoreItem> &items, StoreRevision revision, bool isDifference = false);
    /// Returns whether @p page is older than what this router has learned while it waited for it. It must not be
    /// applied then: it may hold entries whose removal is known already.
    /// @param before known revision when the call was made.
    bool isOutdated(const StorePage &page, StoreRevision before) const;
    /// Applies changes from a peer unless earlier changes are missing or all of them are known.
    void applyPeerChanges(const StoreChanges &changes);
    /// Returns whether this router has to watch the store itself.
    bool shouldWatch() const;
    bool putConfig(const StoreItem &item);
    bool putBackend(const StoreItem &item);
    bool putMember(const StoreItem &item);
    bool putLeader(const StoreItem &item);
    bool putStagePlan(const StoreItem &item);
    bool putContainments(const StoreItem &item);
    bool putServiceVersions(const StoreItem &item);
    bool putStreamOrigins(const StoreItem &item);
    /// Returns whether a change of an item concerns the lists of routers or backend servers.
    bool isInLists(const StoreItem &item) const;
    /// @param isAbsence whether a list lacks the item, instead of a removal that the store has told.
    bool remove(const std::string &key, StoreRevision revision, bool isAbsence = false);
    /// Returns a removal for each known entry under @p prefix that a complete list does not contain.
    std::vector<StoreItem> findRemoved(const std::string &prefix, const StorePage &page) const;
    /// Records that the store has responded; after an outage, requests a complete read.
    void recordSuccess();
    /// Counts a failed call and logs the start of an outage.
    void recordFailure(const std::string &call, const StoreFailure &failure);
    /// Returns whether a call was refused or not answered, and none has succeeded since.
    bool isStoreLost() const;
    /// Returns until when a removed entry is kept; std::nullopt if no outage of the store has ended within
    /// LapseGracePeriod and the store has not returned lately.
    std::optional<TimePoint> keepUntil(const std::string &key, bool isAbsence) const;
    /// Returns the delay after a number of failures in a row, with jitter.
    Millis backoff(int failures);

    RouterState &state;
    StateStore store;
    FleetCodec codec;
    bool readsForFreshness = false; ///< keepFresh() reads the changes.
    /// Revision up to which changes were read; unset before the first complete read.
    std::optional<StoreRevision> watchRevision;
    StoreContact contact;
    std::uint64_t askedGeneration = 0; ///< Newest one that a peer has named and that a renewal was to show.
    TimePoint askedAt; ///< When a peer named it.
    bool renewSoon = false; ///< The next renewal of the lease is due.
    StoreReturn storeReturn;
    StoreRevision copiedUpTo; ///< See StoreChanges.
    std::map<std::string, StoreItem> heldItems; ///< See holdIfOlder(); by key.
    /// This router knew all changes so shortly before it learned of the last return that no leader can have written a
    /// stage plan in between.
    bool noticedReturnInTime = false;
    TimePoint registerAfter; ///< Time of the next registration after a return of the store.
    TimePoint membersSettled; ///< When all routers have registered again after a return.
    Clock::duration leaseConfirmedAt{0}; ///< On the boot-time clock: start of the last call that confirmed the lease.
    std::uint64_t originsLease = 0; ///< Lease of the latest records of where streams began.
    TimePoint originsLeaseEnd;
    std::uint64_t originsWritten = 0; ///< Number of these records, for their keys.
    bool registered = false;
    StoreRevision registrationRevision; ///< Revision of the last write of this router's registration.
};

}
