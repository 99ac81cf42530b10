#pragma once

#include "linkpool.h"
#include "peerreport.h"

#include "cyclamencross/base/metrics.h"
#include "cyclamencross/decide/crashledger.h"
#include "cyclamencross/gateway/routersettings.h"
#include "cyclamencross/route/backendhealth.h"
#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/callerpatience.h"
#include "cyclamencross/route/placementcandidate.h"
#include "cyclamencross/route/retryallowance.h"
#include "cyclamencross/route/roster.h"
#include "cyclamencross/route/routermember.h"
#include "cyclamencross/route/routetable.h"
#include "cyclamencross/route/workbook.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

namespace Cyclamen
{

/// What one router process knows and shares between its requests. Used from one thread.
class RouterState
{
public:
    RouterState(const boost::asio::any_io_executor &executor, RouterSettings settings, std::uint64_t incarnation);

    /// Returns the backend servers of @p service that may take new work.
    /// @param stage only those of this stage.
    /// @param excluded ids that are left out.
    /// @param zone availability zone that counts as near.
    std::vector<PlacementCandidate> candidates(const std::string &service, EngineStage stage,
                                               const std::set<std::string> &excluded, const std::string &zone,
                                               TimePoint now) const;
    /// Returns a few backend servers of other groups of routers, for when those of this router's group have no room.
    std::vector<PlacementCandidate> sampleOutside(const std::string &service, EngineStage stage,
                                                  const std::set<std::string> &excluded, TimePoint now);
    /// Returns the other routers of this router's group.
    const std::vector<RouterMember> &groupPeers() const;
    /// Returns whether this router is one of the few of its group that watch the store for the others.
    bool isChosenWatcher() const;
    /// Returns whether this router is the first of those; the others only stand by for it.
    bool isFirstWatcher() const;
    /// Returns whether a peer that watches the store was heard a moment ago.
    bool hearsWatcher(TimePoint now) const;
    /// Adds changes that this router has read from the store, to be passed on to its peers.
    void passOnChanges(const StoreChanges &more);
    /// Returns whether @p server is still registered as it was and takes new work.
    bool isUsable(const BackendServer &server) const;
    /// Adds the outcome of a call, for this router's choices and for its peers.
    void noteOutcome(const std::string &backend, CallOutcome outcome, TimePoint now);
    /// Notes how many calls were at a backend server when it answered, for this router and for its peers.
    void noteCallsThere(const std::string &backend, std::int64_t calls, TimePoint now);
    /// Notes that an engine has no room; it is passed over for a short time.
    void noteFull(const std::string &backend, TimePoint now);
    /// Adds a crash of a backend server under a request, for this router and for its peers.
    void noteCrash(const CrashReport &crash);
    /// Divides routers and backend servers into groups anew. Called after either list has changed.
    void regroup();
    /// Takes the next report for peers; nothing if there is nothing new to tell.
    std::optional<PeerReport> takeReport(TimePoint now);
    /// Adds what a peer tells.
    void addReport(const PeerReport &report, TimePoint now);
    /// Returns a random number from 0 to 1.
    double random();
    /// Returns a delay after which a refused caller may come back, spread so that callers do not return together.
    Millis comeBackIn();
    /// Returns the number of routers that share the retries.
    std::size_t routerCount() const;
    bool isReady() const;

    boost::asio::any_io_executor executor;
    RouterSettings settings;
    std::uint64_t incarnation;
    std::shared_ptr<const RouteTable> table; ///< nullptr until a configuration is known.
    Roster<BackendServer> backends; ///< By id.
    Roster<RouterMember> members; ///< By name.
    /// What is placed where. Shared with the reservations of requests, which outlive this object at the end of the
    /// process: the frames of unfinished requests go with the event loop.
    const std::shared_ptr<WorkBook> work = std::make_shared<WorkBook>();
    /// Requests of this router's group that wait for room and can still be on time, by service.
    const std::shared_ptr<WorkBook> waiting = std::make_shared<WorkBook>();
    BackendHealth health;
    RetryAllowance retries;
    CallerPatience patience;
    CrashLedger crashes;
    LinkPool links;
    Metrics metrics;
    bool backendsKnown = false;
    std::uint64_t storeRevision = 0; ///< Newest change of the store that this router has seen.
    bool watching = false; ///< This router watches the store, and the store answers.
    /// Called with changes that a peer has read from the store.
    std::function<void(const StoreChanges &changes)> onPeerChanges;
    std::uint64_t peersStoreRevision = 0; ///< Newest change that a peer has seen.
    bool stopping = false;
    int activeRequests = 0;

private:
    /// How often a router tells its work although nothing has changed; a third of what peers keep it.
    static constexpr Millis ReportPeriod{500};
    /// Routers of a group that watch the store. One may be cut off from the store and another be stopped.
    static constexpr std::size_t WatchersPerGroup = 3;
    /// A watching peer counts as heard for this long: two of its reports may be lost.
    static constexpr Millis WatcherLifetime{1200};
    /// Changes beyond this size are not passed on; the peers see the newer revision and read the store themselves.
    static constexpr std::size_t MaxChangesBytes = 30000;
    /// How long crashes are told again, as datagrams may be lost.
    static constexpr Millis CrashRetellTime{400};
    /// Backend servers of other groups that are looked at.
    static constexpr std::size_t OutsideSample = 3;

    using Kind = std::pair<std::string, EngineStage>;
    /// Ids of the backend servers of one service and stage, so that a choice looks at those of its group only.
    struct Members
    {
        std::vector<std::string> own; ///< Used by this router's group, alone or with all others.
        std::vector<std::string> outside; ///< Those of other groups.
    };
    struct PeerSequence
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    /// How long an engine that refused a reservation is passed over: some steps of its work.
    static constexpr Millis FullTime{60};

    /// How long the load that a backend server has told counts: some periods of the peers' reports.
    static constexpr Millis ToldLoadLifetime{400};

    std::mt19937_64 generator;
    std::map<std::string, std::pair<std::int64_t, TimePoint>> callsThere;
    std::map<std::string, std::int64_t> untoldCalls;
    std::map<std::string, TimePoint> fullUntil;
    std::map<std::string, BackendWork> toldWork;
    std::map<std::string, BackendWork> toldWaiting;
    std::map<std::string, PeerReport::Outcomes> untold;
    std::vector<std::pair<TimePoint, CrashReport>> recentCrashes;
    std::vector<RouterMember> peersOfGroup;
    std::size_t watcherRank = 0; ///< Place of this router among those of its group that may watch.
    TimePoint watcherHeard;
    StoreChanges changes; ///< To be passed on with the next report.
    std::map<Kind, Members> kinds;
    std::set<std::string> backendsShared; ///< Ids of those that all groups use.
    std::size_t groups = 1;

    PlacementCandidate describe(const BackendServer &server, const std::string &zone, TimePoint now) const;
    std::map<std::string, PeerSequence> peerSequences;
    std::uint64_t reportSequence = 0;
    TimePoint lastReport;
};

}
