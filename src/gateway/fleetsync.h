#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/fleetcodec.h"
#include "cyclamencross/gateway/statestore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class RouterState;
struct StoreChanges;

/// Keeps the configuration, the backend servers and the routers of RouterState in step with the store, and registers
/// this router there.
class FleetSync
{
public:
    /// Wait of one watch of a router without peers. A connection that fell silent is noticed after it.
    static constexpr Millis LoneWatchWait{2000};
    /// Wait of one watch where peers tell which changes they have seen, so that a silent connection is noticed by them.
    static constexpr Millis WatchWait{8000};
    /// Pause after changes, in which further ones gather: each wake-up of all routers is one call of each.
    static constexpr Millis GatherPause{150};
    /// The same of a watcher that stands by for the first one of its group, whose reports bring the changes meanwhile.
    /// Well below the time in which changes must be known, in case the first one is lost.
    static constexpr Millis StandbyGatherPause{900};
    /// Changes that peers have seen this long ago are asked for, whatever the watch does.
    static constexpr Millis CatchUpAfter{800};
    /// How long an entry that lapsed during an outage of the store is kept: living servers are back within two seconds.
    static constexpr Millis LapseHold{2000};
    /// Lifetime of this router's registration; three renewals may be lost.
    static constexpr Millis LeaseLifetime{3000};
    static constexpr Millis RenewPeriod{900};
    /// Pause between two renewals of a router that watches for others: it must notice soon that the store is out of
    /// reach.
    static constexpr Millis WatcherRenewPeriod{500};
    /// Pause after a failed call; doubles up to the longest.
    static constexpr Millis FirstPause{50};
    static constexpr Millis LongestPause{1000};
    /// Pause between two reads while other calls fail: a store that refuses only writes must still bring a new
    /// configuration in time.
    static constexpr Millis LostReadPause{2000};
    /// Time that the watchers of a group have, after the store has returned, to read it and to tell the others; some
    /// periods of their reports.
    static constexpr Millis WatchersFirst{600};

    FleetSync(RouterState &state, StateStore store, FleetCodec codec);

    /// Follows the items under @p prefix for as long as the process runs. A few routers of each group watch the store
    /// and pass changes on to their peers; the calls to the store then grow with the number of groups. A router that
    /// hears no such peer watches itself.
    boost::asio::awaitable<void> follow(std::string prefix);
    /// Reads everything anew when the watch may have missed changes: peers have seen changes that it has not brought,
    /// or the store was lost and another call has found it again.
    boost::asio::awaitable<void> catchUp(std::string prefix);
    /// Keeps this router registered until withdraw().
    boost::asio::awaitable<void> keepRegistered();
    /// Removes this router's registration.
    boost::asio::awaitable<void> withdraw();
    /// Drops held entries whose time is over.
    void expire(TimePoint now);
    /// Returns the prefix under which routers register.
    static std::string memberPrefix();

private:
    struct Contact
    {
        TimePoint last; ///< Newest answer of the store.
        bool lost = false;
        bool reread = false; ///< The store was regained and is to be read anew.
        TimePoint regained;
    };

    boost::asio::awaitable<std::optional<std::uint64_t>> load(std::string prefix);
    boost::asio::awaitable<bool> registerOnce();
    /// Applies one item. @return whether anything that is known has changed.
    bool apply(const StoreItem &item);
    /// Waits until a call of this router to the store succeeds, no longer than @p longest.
    boost::asio::awaitable<void> waitForContact(Millis longest);
    void applyAll(const std::vector<StoreItem> &items, std::uint64_t revision);
    /// Takes changes from a peer if none is missing before them.
    void applyPeerChanges(const StoreChanges &changes);
    /// Returns whether this router has to watch the store itself.
    bool mustWatch() const;
    bool putConfig(const StoreItem &item);
    bool putBackend(const StoreItem &item);
    bool putMember(const StoreItem &item);
    bool remove(const std::string &key, std::uint64_t revision);
    /// Returns the removal of each known entry that is not in a whole list.
    std::vector<StoreItem> missing(const std::string &prefix, const StorePage &page) const;
    void noteAnswer();
    void noteFailure(const std::string &call, const StoreFailure &failure);
    std::optional<TimePoint> holdUntil() const;
    Millis pause(int failures);

    RouterState &state;
    StateStore store;
    FleetCodec codec;
    std::optional<std::uint64_t> position; ///< Revision up to which changes were read; nothing before the first list.
    Contact contact;
    std::uint64_t lease = 0;
    bool registered = false;
};

}
