#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <optional>

namespace Cyclamen
{

/// Records until when a router is certain to know all changes of the store, and decides when it must read the store
/// itself to be certain again. The certainty comes from an answer of the store or from the report of a peer; neither a
/// watch that is waiting nor a peer that says that it watches proves anything, since its connection may be dead.
///
/// The delays between a change in the store and its effect at a router follow one another, so their sum is bounded
/// here: the age that the certainty may reach, a read on a connection that has gone silent, and a read on a new one.
class StoreFreshness
{
public:
    /// Time within which a change takes effect at each router that can reach the store.
    static constexpr Millis ChangeBound{2000};
    /// Age of the certainty from which a router reads the store itself.
    static constexpr Millis MaxAge{1000};
    /// Interval at which a router checks its age.
    static constexpr Millis CheckPeriod{50};
    /// Timeout of one read of changes. A slow store takes some hundred milliseconds.
    static constexpr Millis ReadTimeout{500};
    /// Time for the second read, on a new connection, and for the event loop of a busy host.
    static constexpr Millis Margin{400};
    static_assert(MaxAge + CheckPeriod + ReadTimeout + Margin <= ChangeBound);
    /// Time from a decision until its request has reached a backend server. A certainty that is older than the bound
    /// less this time decides no request.
    static constexpr Millis DecisionMargin{100};
    /// How long the store has to be away before requests are decided by what is known. The first failed call after a
    /// pause of this process may have timed out in the pause; the next one shows whether the store is there.
    static constexpr Millis OutageTrust{500};
    /// Longest wait of a watch whose answers keep a group of routers certain. An answer, the next one and its report
    /// fit into the age at which the first standby reads.
    static constexpr Millis WatchWait{450};
    /// Shortest wait of such a watch.
    static constexpr Millis MinWatchWait{50};

    /// Shortest time without any known answer of the store that counts as an outage of the store itself: longer than a
    /// single silent connection takes to be noticed, shorter than three heartbeats of a backend server.
    static constexpr Millis MinOutage{1200};

    /// Time from the decision about an API key until its request has reached a backend server, on a busy host.
    static constexpr Millis RevokeMargin{250};

    /// Records that the store has answered this router or a peer at @p at.
    void recordAnswer(TimePoint at);
    /// Returns the end of the last time of at least MinOutage in which no answer of the store is known, neither to this
    /// router nor to a peer; std::nullopt if there was none. Registrations may have expired in that time although their
    /// owners are alive. While the store rejects this router only, its peers show that there is no outage.
    std::optional<TimePoint> outageEndedAt() const;
    /// Records that an answer of the store, to this router or a peer, shows that all changes made until @p at are
    /// known. Earlier times than the known one are ignored.
    void confirm(TimePoint at);
    /// Takes back all confirmations.
    void forgetConfirmations();
    /// Returns the time until which all changes are known; std::nullopt if there was no confirmation.
    std::optional<TimePoint> confirmedAt() const;
    /// Returns whether all changes are known that are older than @p revokeTime less RevokeMargin, so that a request
    /// that is sent now has no API key that was removed before @p revokeTime. The margin is at most half of that time.
    bool knowsRevokedKeys(Millis revokeTime, TimePoint now) const;
    /// Returns whether the router must read the store now. The standby watchers of a group read a little earlier than
    /// the others, whom their reports then make certain, so that one read serves the group.
    /// @param watcherRank rank of the router in its group; 0 is the primary watcher, 1 and 2 are the standbys.
    bool isReadDue(std::size_t watcherRank, TimePoint now) const;
    /// Returns how long the next watch of the primary watcher may wait, so that the certainty of its group lasts.
    Millis watchWait(TimePoint now) const;

private:
    std::optional<TimePoint> knownUntil;
    std::optional<TimePoint> lastAnswer;
    std::optional<TimePoint> outageEnd;
};

}
