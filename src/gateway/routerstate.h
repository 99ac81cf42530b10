#pragma once

#include "changequeue.h"
#include "connectionpool.h"
#include "leadership.h"
#include "peerreport.h"
#include "routerenvironment.h"

#include "cyclamencross/base/metrics.h"
#include "cyclamencross/gateway/routersettings.h"
#include "cyclamencross/route/backendhealth.h"
#include "cyclamencross/route/backendreach.h"
#include "cyclamencross/route/backendserver.h"
#include "cyclamencross/route/backendstatements.h"
#include "cyclamencross/route/backendworktracker.h"
#include "cyclamencross/route/busiestlabels.h"
#include "cyclamencross/route/callerwaitestimator.h"
#include "cyclamencross/route/crashattribution.h"
#include "cyclamencross/route/fleetretrybudget.h"
#include "cyclamencross/route/groupplan.h"
#include "cyclamencross/route/memorybudget.h"
#include "cyclamencross/route/namedlimit.h"
#include "cyclamencross/route/namedratelimits.h"
#include "cyclamencross/route/outputestimator.h"
#include "cyclamencross/route/overflowpacer.h"
#include "cyclamencross/route/peerclocks.h"
#include "cyclamencross/route/placementcandidate.h"
#include "cyclamencross/route/registrationcache.h"
#include "cyclamencross/route/roomestimator.h"
#include "cyclamencross/route/routedurations.h"
#include "cyclamencross/route/routermember.h"
#include "cyclamencross/route/routetable.h"
#include "cyclamencross/route/serviceversions.h"
#include "cyclamencross/route/slowdowntracker.h"
#include "cyclamencross/route/stageload.h"
#include "cyclamencross/route/stageplan.h"
#include "cyclamencross/route/stopschedule.h"
#include "cyclamencross/route/storefreshness.h"
#include "cyclamencross/route/streamorigins.h"
#include "cyclamencross/route/urgencyqueue.h"
#include "cyclamencross/route/versionplanner.h"
#include "cyclamencross/route/workspacequotas.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

struct BackendResponseHead;

/// The state that all requests of one router process share: configuration, registered backend servers and routers,
/// load, health and connections. Used from one thread.
class RouterState
{
public:
    RouterState(const boost::asio::any_io_executor &executor, RouterSettings settings, std::uint64_t incarnation,
                RouterEnvironment environment = RouterEnvironment());

    /// Returns whether a backend server may be used for a request; an empty function admits all.
    using ServerFilter = std::function<bool(const BackendServer &server)>;

    /// Returns the backend servers of @p service and @p stage that this router's group uses and that are not draining.
    /// @param excluded ids of backend servers to leave out.
    /// @param zone availability zone to prefer; sets PlacementCandidate::sameZone.
    std::vector<PlacementCandidate> candidates(const std::string &service, EngineStage stage,
                                               const std::set<std::string> &excluded, const std::string &zone,
                                               TimePoint now, const ServerFilter &mayUse = nullptr) const;
    /// Returns a random sample of the backend servers of other router groups, to be used if those of this router's
    /// group have no capacity. Leaves out engines that have just refused a reservation.
    /// @param ofOwnZone whether they are in this router's zone or in others; both if it is not set.
    std::vector<PlacementCandidate> sampleOtherGroups(const std::string &service, EngineStage stage,
                                                      const std::set<std::string> &excluded, TimePoint now,
                                                      std::optional<bool> ofOwnZone = std::nullopt,
                                                      const ServerFilter &mayUse = nullptr);
    /// Returns whether groups follow the availability zones, so that a request for which its group has no room may use
    /// engines of other groups.
    bool hasZoneGroups() const;
    /// Returns whether engines of other groups may be asked for room now; see OverflowPacer.
    /// @param ofOwnZone whether they are in this router's zone or in others.
    bool mayAskOtherGroups(const std::string &service, bool ofOwnZone, TimePoint now) const;
    /// Records the answer of an engine to the request for room, if another group uses it.
    void recordOverflow(const std::string &service, const PlacementCandidate &engine, bool granted, TimePoint now);
    /// Returns the number of groups of routers.
    std::size_t groupCount() const;
    /// Returns the other routers of this router's group.
    const std::vector<RouterMember> &groupPeers() const;
    /// Returns the routers that were in this router's group until their registration was removed, for
    /// LapsedPeerLifetime. They still get reports: a router that the store rejects loses its registration but serves
    /// on.
    std::vector<RouterMember> lapsedPeers(TimePoint now);
    /// Returns the routers of the other groups.
    const std::vector<RouterMember> &otherGroupsRouters() const;
    /// Returns whether this router is one of the routers of its group that watch the store for the others.
    bool isDesignatedWatcher() const;
    /// Returns whether this router is the primary of these watchers; the others are standbys.
    bool isPrimaryWatcher() const;
    /// Returns whether a report of a peer that watches the store was received within WatcherLifetime.
    bool hasLiveWatcher(TimePoint now) const;
    /// Returns the rank of this router among those of its group that watch the store: 0 for the primary watcher.
    std::size_t watcherRank() const;
    /// Records that an answer of the store shows that this router knows all changes made until @p at, for itself and
    /// its next report to peers.
    void confirmChanges(TimePoint at);
    /// Returns the age of the time until which this router knows all changes of the store, also counting the time for
    /// which its host was suspended; std::nullopt if it has never known them.
    std::optional<Millis> certaintyAge() const;
    /// Takes back what routers that name no generations have vouched for: after a return of the store they take new
    /// changes for known ones.
    void forgetUnnamedCertainty();
    /// Returns whether what this router knows may decide a request: it knows all changes that must be in force.
    bool isCurrent() const;
    /// Suspends the calling coroutine until isCurrent(), until the store has been away for OutageTrust, or until @p
    /// until. Timers alone do not keep what is known young: a process that did not run for a while goes on with it.
    /// @return whether the request may be decided: in an outage of the store, requests are served by what is known.
    boost::asio::awaitable<bool> waitUntilCurrent(TimePoint until) const;
    /// Returns how far this router's boot-time clock is ahead of that of @p peer at most, for PeerReport::clockOffset;
    /// std::nullopt if it is not known.
    std::optional<Millis> clockOffset(const RouterMember &peer) const;
    /// Adds changes that this router has read from the store to its next report to peers.
    void queueChangesForPeers(const StoreChanges &added);
    /// Returns whether @p server is still registered at the same address with the same software version, not draining
    /// and not changing its stage,
    /// and has not said that it wants no requests now.
    bool isUsable(const BackendServer &server, TimePoint now) const;
    /// Returns whether @p server is still registered at the same address and not draining, whatever its stage and
    /// statements.
    bool isRegistered(const BackendServer &server) const;
    /// Returns whether backend servers of a pool are registered but none can take a request now because those that are
    /// not in @p excluded have said that they leave or pause, and at least one has.
    /// @param withOtherGroups whether the backend servers of other router groups count too.
    /// @return when the first pause of those that are not in @p excluded ends, TimePoint::max() if none of them is
    /// paused; std::nullopt if a backend server may take the request, perhaps later, or none has said anything.
    std::optional<TimePoint> silentUntil(const std::string &service, EngineStage stage, bool withOtherGroups,
                                         const std::set<std::string> &excluded, TimePoint now) const;
    /// Records what an answer of @p server says about the server itself.
    /// @param isStray whether it answers another request, so that it may be late: a pause may have passed.
    void recordStatements(const BackendServer &server, const BackendResponseHead &head, bool isStray, TimePoint now);
    /// Drops statements that have ended, with their limits, and updates their metrics.
    void expireStatements(TimePoint now);
    /// Returns the backend servers of @p service that are not draining, those of other groups too.
    std::vector<BackendServer> serversOf(const std::string &service) const;
    /// Returns whether no backend server of @p service accepts connections from this router.
    bool isCutOff(const std::string &service) const;
    /// Returns whether so many backend servers of @p service in a row have accepted no connection that this router may
    /// be cut off from all of them.
    bool mayBeCutOff(const std::string &service) const;
    /// Records whether a backend server has accepted a connection of this router.
    void recordReach(const BackendServer &server, bool reached);
    /// Returns the services that this router is cut off from.
    std::set<std::string> cutOffServices() const;
    /// Returns whether a peer of this router's group is cut off from the backend servers of a service, as it has
    /// reported.
    bool isPeerCutOff(const std::string &name) const;
    /// Chooses a peer that can serve a request for @p service in place of this router, at random: one of the same
    /// availability zone, unless most routers of the zone are cut off as well.
    /// @param excluded names of peers to leave out.
    std::optional<RouterMember> choosePeer(const std::string &service, const std::set<std::string> &excluded);
    /// Returns the load of the engines of each model service that has engines of both stages. Extrapolates from the
    /// engines of this router's group, and of those whose delegates report to this router, to all.
    std::map<std::string, StageLoad> stageLoads() const;
    /// Returns the software version of all streams of a service that can still be taken up; std::nullopt if there may
    /// be several, or if this router is not certain enough of the latest changes.
    std::optional<std::string> onlyVersion(const std::string &service) const;
    /// Returns whether a backend server of a service with a software version is registered and not draining.
    bool isVersionServing(const std::string &service, const std::string &version) const;
    /// Returns how many routers come before this one in the order in which they write what all of them know.
    int writerRank() const;
    /// Returns whether this router is the leader, by a record under its newest lease. A record under an earlier lease
    /// is gone from the store even if this router has not read that yet, and another router may lead.
    bool isLeader() const;
    /// Returns whether the leader's record is one of this process under a lease that it does not hold any more. After a
    /// return of the store it may be bound to the lease of somebody else, and then does not end with its own.
    bool hasFormerRecord() const;
    /// Returns the fencing token of the leader's orders: higher than those of all leaders before, also over returns of
    /// the store. While the store has not returned, it is the number of the record's revision.
    std::uint64_t fencingToken() const;
    /// Records the outcome of a call for this router's health data and its next report to peers.
    void recordOutcome(const std::string &backend, CallOutcome outcome, TimePoint now);
    /// Records how many calls a shared backend server reported, for this router and its next report to peers. Ignored
    /// for backend servers that only one group uses.
    void recordReportedCalls(const std::string &backend, std::int64_t calls, TimePoint now);
    /// Records the limit on requests that a backend server named in an answer, for this router and its next report to
    /// peers.
    /// @param requestsPerSecond infinity if it named none.
    void recordNamedLimit(const std::string &backend, double requestsPerSecond, TimePoint now);
    /// Records the pace of a running stream for this router's health data and its next report to peers.
    void recordPace(const std::string &backend, double millisPerToken, TimePoint now);
    /// Records a completed stream for this router's estimates and its next report to peers.
    void recordStream(const StreamSample &sample);
    /// Records that an engine refused a capacity reservation; it counts as full for FullLifetime.
    void markFull(const std::string &backend, TimePoint now);
    /// Records a call that had produced no output when its backend server crashed, for this router and for its next
    /// reports to peers. Sets CrashSuspect::servedBefore.
    void recordCrash(CrashedCall call, TimePoint now);
    /// Records that a request with the given crash suspects was served, for this router and, if calls with them have
    /// crashed, for its next reports to peers.
    /// @param outputTime see CrashAttribution::recordServed().
    void recordServed(const std::vector<std::string> &suspects, Millis outputTime, TimePoint now);
    /// Recomputes the groups of routers and backend servers. Must be called after either list has changed.
    void regroup();
    /// Calls regroup(), but not more often than every RegroupInterval; a call that is due later is made by
    /// regroupIfPending(). Each change of the lists costs time that grows with their length.
    void requestRegroup(TimePoint now);
    /// Makes the call that requestRegroup() has postponed, if it is due.
    void regroupIfPending(TimePoint now);
    /// Returns the next report for peers and clears what it reports only once; std::nullopt if nothing has changed and
    /// the last report is younger than ReportPeriod.
    std::optional<PeerReport> takeReport(TimePoint now);
    /// Returns a report for the routers of other groups with the crashes of @p report, to which callers may send such
    /// requests too; std::nullopt if there are none. The rest of the report would fill the links of small hosts.
    static std::optional<PeerReport> crashNews(const PeerReport &report);
    /// Returns the next report to the delegates of the other groups; std::nullopt if this router is not the delegate of
    /// its group, all groups have their own backend servers and no workspace is limited, or the last report is younger
    /// than GroupReportPeriod.
    std::optional<PeerReport> takeGroupReport(TimePoint now);
    /// Returns the delegates of the other groups that get this router's group reports: those whose groups share backend
    /// servers with this one or, if workspaces are limited, all. The delegate of a group is its primary watcher.
    const std::vector<RouterMember> &otherDelegates() const;
    /// Applies a peer's report. Reports that are not newer than the last one of the same router are ignored.
    void applyReport(const PeerReport &report, TimePoint now);
    /// Returns whether this router may decide by the API keys that it knows: always, or if the settings are strict only
    /// while it is certain enough of the store's changes.
    bool mayTrustKeys(TimePoint now) const;
    /// Adds 1 to the counter @p metric of a workspace. The number of workspaces with a series of their own is bounded.
    /// @param workspace name; empty for requests that belong to none.
    void countForWorkspace(const std::string &metric, const std::string &workspace, Metrics::Labels labels);
    /// Returns a uniformly distributed random number from 0 to 1.
    double random();
    /// Returns the delay after which a refused caller may retry, with jitter so that callers do not return together. A
    /// stopping router sends callers to the others, which can serve them at once.
    Millis retryAfterDelay();
    /// Returns the number of routers that share the retry budget, at least 1.
    std::size_t routerCount() const;
    /// Returns whether other routers are registered, which can serve what this one refuses.
    bool hasOtherRouters() const;
    /// Returns whether the router can serve requests: it has a configuration and the backend servers and is not
    /// stopping.
    bool isReady() const;

    /// Number of workspaces with series of their own in the metrics.
    static constexpr std::size_t MaxWorkspaceLabels = 16;

    const RouterEnvironment environment; ///< Clocks, timer and random seed of all decisions.
    boost::asio::any_io_executor executor;
    RouterSettings settings;
    std::uint64_t incarnation;
    std::shared_ptr<const RouteTable> table; ///< nullptr until a configuration was read.
    RegistrationCache<BackendServer> backends; ///< By id.
    RegistrationCache<RouterMember> members; ///< By name.
    /// Unfinished work by backend server. Shared with the WorkReservations of requests, which may outlive this object:
    /// the coroutine frames of unfinished requests are destroyed with the event loop at the end of the process.
    const std::shared_ptr<BackendWorkTracker> work = std::make_shared<BackendWorkTracker>();
    /// Requests of this router's group that wait for capacity and can still be on time, by service; for services with
    /// an order of urgency also by class, and the work in progress of workspaces. See WaitingKeys.
    const std::shared_ptr<BackendWorkTracker> waiting = std::make_shared<BackendWorkTracker>();
    /// Requests of this router that look for room at services with an order of urgency. Shared like `work`.
    const std::shared_ptr<UrgencyQueue> urgencyQueue = std::make_shared<UrgencyQueue>();
    RoomEstimator roomEstimator;
    /// Limits of backend servers on the requests of all routers. Shared with the permits of requests, like `work`.
    const std::shared_ptr<NamedRateLimits> namedLimits;
    BackendStatements statements; ///< What backend servers say of themselves.
    /// Memory of the bodies of requests and responses. Shared with their leases, like `work`.
    const std::shared_ptr<MemoryBudget> bodyMemory;
    WorkspaceQuotas quotas;
    BackendHealth health;
    SlowdownTracker slowdowns; ///< What backend servers tell of the pace of their machines.
    BackendReach reach; ///< Whether this router's connections reach the backend servers.
    /// Called when a backend server has accepted no connection, or has not answered on one.
    std::function<void(const std::string &service)> onUnreachable;
    FleetRetryBudget retryBudget;
    CallerWaitEstimator callerWaitEstimator;
    OutputEstimator outputEstimator;
    RouteDurations routeDurations;
    CrashAttribution crashes;
    ConnectionPool connections;
    Metrics metrics;
    BusiestLabels workspaceLabels{MaxWorkspaceLabels};
    ServiceVersions serviceVersions; ///< As recorded in the store.
    StoreRevision serviceVersionsRevision;
    bool serviceVersionsUnwritten = false; ///< The record in the store, an older copy, lacks some of them.
    VersionPlanner::Registered registeredVersions; ///< Of the registered backend servers.
    VersionPlanner::Registered servingVersions; ///< Of those that are not draining.
    StreamOrigins streamOrigins;
    Leadership leadership; ///< As recorded in the store.
    /// Newest lease that the store has granted for the registration of this router; 0 if there is none.
    std::uint64_t registrationLease = 0;
    StagePlan stagePlan; ///< As recorded in the store.
    StoreRevision stagePlanRevision;
    bool stagePlanUnwritten = false; ///< The record in the store, an older copy, differs from the plan.
    TimePoint stagePlanSince; ///< When this router learned of the plan.
    std::map<std::string, Containment> storedContainments; ///< As recorded in the store, by crash suspect.
    StoreRevision containmentsRevision;
    bool backendsKnown = false; ///< The backend servers were read from the store at least once.
    StoreRevision storeRevision; ///< Newest store revision that this router has seen.
    bool watching = false; ///< This router watches the store and can reach it.
    /// Since when calls to the store have failed and none has succeeded.
    std::optional<TimePoint> storeLostSince;
    StoreFreshness freshness; ///< Until when this router knows all changes of the store.
    /// Called with the store changes in a peer's report.
    std::function<void(const StoreChanges &changes)> onPeerChanges;
    StoreRevision newestPeerRevision; ///< Newest store revision that a peer has reported.
    std::uint64_t storeGeneration = 0; ///< Newest known generation of the store; 0 if it names none.
    std::optional<TimePoint> storeGenerationSince; ///< When this router learned of it; unset if the store names none.
    bool hasStoreReturned = false; ///< This process has seen the generation rise.
    /// Lowest generation that this router, or another one by its registration, has seen; unset if the store names none.
    std::optional<std::uint64_t> lowestGeneration;
    bool stopping = false;
    std::optional<StopSchedule> stopSchedule; ///< Set while the router stops.

private:
    /// Highest number that the first generation of a store may have.
    static constexpr std::uint64_t FirstGeneration = 1;
    /// Revisions that a store may give out in one generation. Tokens of several thousand generations are exact as
    /// numbers with a fraction of 53 bits.
    static constexpr std::uint64_t TokensPerGeneration = std::uint64_t(1) << 40U;
    /// Interval at which requests that wait for isCurrent() check it.
    static constexpr Millis CurrencyPollPeriod{10};
    /// Interval between reports if nothing has changed: a third of the time for which peers keep a report.
    static constexpr Millis ReportPeriod{500};
    /// Interval between the reports of the delegates: that of the members' reports on which they are based.
    static constexpr Millis GroupReportPeriod{100};
    /// How long the reported work of another group counts: a few periods.
    static constexpr Millis GroupWorkLifetime{1000};
    /// How long a peer's report of the services that it is cut off from counts: three periods of its reports.
    static constexpr Millis PeerCutOffLifetime{1500};
    /// How long a router gets reports after its registration was removed: longer than most outages of one router.
    static constexpr Millis LapsedPeerLifetime{20000};
    /// Number of routers in a group that watch the store. One of them may lose the store and another be stopped.
    static constexpr std::size_t WatchersPerGroup = 3;
    /// How long after its last report a watching peer counts as live: two of its reports may be lost.
    static constexpr Millis WatcherLifetime{1200};
    /// Shortest interval between two calls of regroup() by requestRegroup().
    static constexpr Millis RegroupInterval{200};
    /// Completed streams sent with one report; further ones add little to the estimates.
    static constexpr std::size_t MaxReportedStreams = 16;
    /// How long news about crashes is repeated in reports, since datagrams may be lost.
    static constexpr Millis CrashRepeatTime{400};
    /// How long what backend servers say of themselves is repeated in reports.
    static constexpr Millis StatementRepeatTime{400};
    /// Backend servers whose statements are reported at a time, so that a report fits into a datagram.
    static constexpr std::size_t MaxReportedStatements = 32;
    /// Age up to which a peer's news is used. Older news can only come from a frozen or faulty peer; the server may
    /// have been restarted since.
    static constexpr Millis MaxStatementNewsAge{60000};
    /// The same for servers without a start time in their registration, whose restarts are harder to recognize.
    static constexpr Millis MaxUnidentifiedNewsAge{2000};
    /// Limited workspaces that are reported together with changes of the store, so that a report fits into a datagram.
    static constexpr std::size_t MaxWorkspacesBesideChanges = 32;
    /// Crashed calls that are reported at a time, so that a report fits into a datagram.
    static constexpr std::size_t MaxReportedCrashes = 32;
    /// Figures on the pace of machines that are reported at a time: with ten reports a second, 1.5 KB/s to each peer.
    static constexpr std::size_t MaxReportedSlowdowns = 4;
    /// Size of the sample that sampleOtherGroups() returns.
    static constexpr std::size_t OtherGroupSampleSize = 3;

    using PoolKey = std::pair<std::string, EngineStage>;
    /// Ids of the backend servers of one service and stage, so that a placement examines only those of its group.
    struct Pool
    {
        std::vector<std::string> own; ///< Used by this router's group, exclusively or shared with all groups.
        std::vector<std::string> otherGroups; ///< Used by another group.
    };
    /// Identifies the newest report of a peer.
    struct PeerSequence
    {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint64_t ignoredIncarnation = 0; ///< Last one whose reports were not used; for the log.
    };
    /// How long an engine that refused a capacity reservation counts as full: a few steps of its work.
    static constexpr Millis FullLifetime{60};

    /// How long the number of calls that a backend server reported is used: a few periods of the peers' reports.
    static constexpr Millis ReportedLoadLifetime{400};

    std::mt19937_64 generator;
    /// Number of calls that a shared backend server reported, and when.
    std::map<std::string, std::pair<std::int64_t, TimePoint>> reportedCalls;
    /// Limits read from answers, to be sent with the next report, with the time to which their age refers.
    std::map<std::string, std::pair<NamedLimit, TimePoint>> pendingLimits;
    /// Figures to be sent with the next report, with the time of the answer.
    std::map<std::string, std::pair<double, TimePoint>> pendingSlowdowns;
    std::map<std::string, std::int64_t> pendingReportedCalls; ///< To be sent with the next report.
    std::map<std::string, TimePoint> fullUntil; ///< By id of the engine.
    std::map<std::string, BackendWork> lastReportedWork;
    std::map<std::string, BackendWork> lastReportedWaiting;
    std::set<std::pair<std::string, int>> waitingMetrics; ///< Services and priorities whose metric is set.
    std::map<std::string, PeerReport::Outcomes> pendingOutcomes; ///< To be sent with the next report.
    std::vector<StreamSample> pendingStreams; ///< To be sent with the next report.
    std::vector<std::pair<TimePoint, CrashedCall>> recentCrashes; ///< With the time to which their age refers.
    /// Ids of the backend servers whose statements are sent in the next reports, and since when.
    std::map<std::string, TimePoint> recentStatements;
    std::vector<std::pair<TimePoint, ServedSuspect>> recentlyServed; ///< Crash suspects that were served, and when.
    std::vector<RouterMember> peersOfGroup;
    /// See lapsedPeers(); by name, with the time until which they get reports.
    std::map<std::string, std::pair<RouterMember, TimePoint>> lapsed;
    std::vector<RouterMember> routersOfOtherGroups;
    std::vector<RouterMember> delegates; ///< Of the other groups.
    std::vector<RouterMember> sharingDelegates; ///< Of those that share backend servers with this router's group.
    /// Work of the other groups on shared backend servers by delegate, if this router is the delegate of its group.
    std::map<std::string, std::pair<std::map<std::string, BackendWork>, TimePoint>> groupWork;
    /// Loads of the engines of other groups by delegate and service, likewise.
    std::map<std::string, std::pair<std::map<std::string, StageLoad>, TimePoint>> groupStageLoads;
    std::map<std::string, BackendWork> otherGroupsWork; ///< Sum over all other groups.
    TimePoint otherGroupsWorkTime; ///< When the sum was last updated.
    TimePoint lastGroupReport;
    /// Services that peers are cut off from, by the name of the peer, and when it reported that.
    std::map<std::string, std::pair<std::set<std::string>, TimePoint>> peerCutOff;
    std::set<std::string> lastReportedCutOff;
    std::uint32_t reportedOthersHeard = 0; ///< QuotaReport::heard of the last report on other groups.
    std::uint64_t groupReportSequence = 0;
    std::map<std::string, PeerSequence> groupReportSequences; ///< Newest group report by delegate.
    std::size_t rankInGroup = 0; ///< The first WatchersPerGroup routers of a group watch the store.
    /// Time on the boot-time clock, which also counts while the host is suspended, until which this router knows all
    /// changes of the store.
    std::optional<Clock::duration> confirmedBootTime;
    /// The same as an answer of the store to this router shows it. Only this is told to peers: each of them learns by
    /// its own reports how old it is.
    std::optional<Clock::duration> ownConfirmedBootTime;
    bool isCertainWithoutGeneration = false; ///< A report that names no generations has made this router certain.
    PeerClocks peerClocks;
    bool confirmationPending = false; ///< An answer of the store was confirmed since the last report.
    TimePoint lastWatcherReport;
    ChangeQueue changeQueue{this->settings.linkMegabits}; ///< To be sent with the next reports.
    std::map<PoolKey, Pool> pools;
    /// Backend servers that this router's group and others use, with these groups.
    std::map<std::string, GroupRange> sharedBackends;
    std::set<std::string> foreignBackends; ///< Ids of the backend servers that only another group uses.
    std::vector<std::uint64_t> routerHashes; ///< Of the names of all routers.
    std::vector<std::uint64_t> groupHashes; ///< Of the names of the routers of this router's group.
    std::vector<std::uint64_t> regionHashes; ///< Of the names of the routers of the groups in the same region.
    GroupPlan groupPlan;
    std::size_t ownGroup = 0; ///< Index in `groupPlan`.
    std::string reportedGroup; ///< Name and rank in the last log line about the group.
    OverflowPacer overflowPacer;
    bool regroupPending = false;
    TimePoint lastRegroup;

    /// Returns the hashes of the names of the routers that use a backend server.
    const std::vector<std::uint64_t> &routersOf(const std::string &backend) const;
    /// Returns the load of the engines of this router's group that take requests now, by service.
    std::map<std::string, StageLoad> ownStageLoads() const;
    /// Computes the groups of routers: `groupPlan`, `ownGroup`, the peers and the rank in the group.
    void groupRouters();
    /// Divides the backend servers among the groups.
    /// @return the other groups that share backend servers with this router's group.
    std::set<std::size_t> divideBackends();
    /// Logs the group if it has changed, and updates the metrics of the group.
    void reportGroup();
    /// Logs and counts a change of a named limit.
    void logNamedLimit(const std::string &backend, double requestsPerSecond, double before);
    /// Returns whether this router is the one that tries requests with a contained crash suspect.
    bool isTrialRouter(const std::string &suspect) const;
    /// Records a pace sample and logs whether the engine has become slow or recovered.
    /// Updates `confirmedBootTime` from `freshness`.
    void updateConfirmedBootTime(TimePoint now);
    void applyPace(const std::string &backend, double millisPerToken, TimePoint now, double weight);
    /// Returns the own part of `waiting` for a report, with the largest workspaces only.
    std::map<std::string, BackendWork> boundedWaiting() const;
    /// Sets the metrics of requests that look for room by priority.
    void updateWaitingMetrics();
    /// Returns the use of limited workspaces in a scope for the next report.
    QuotaReport takeQuotaReport(WorkspaceQuotas::Scope scope, TimePoint now);
    /// Recomputes the work of the other groups from the reports of their delegates.
    void sumGroupWork(TimePoint now);
    /// Returns the age of the last answer of the store to the sender of a report; without the time for which the report
    /// was under way if its clock offset is not known. std::nullopt if there was none.
    std::optional<Clock::duration> ageOfAnswer(const PeerReport &report) const;
    /// Names the generations in a report of a release that knows none.
    void nameGenerations(PeerReport &report) const;
    /// Applies a report of a router of the same group that names generations.
    void applyPeerReport(const PeerReport &report, TimePoint now);
    /// Applies the crashes and served suspects of a report.
    void applyCrashNews(const PeerReport &report, TimePoint now);
    /// Returns whether @p report is newer than the last one of the same router, and remembers it then.
    bool isNewer(const PeerReport &report, std::map<std::string, PeerSequence> &sequences) const;
    /// Returns whether requests of the server's registered stage may be sent to it as far as the store says.
    bool isEligible(const BackendServer &server) const;
    /// Returns whether requests of the server's registered stage may be sent to it now.
    bool mayTakeRequests(const BackendServer &server, TimePoint now) const;
    /// Returns whether a later incarnation than @p server is registered under its id; one at another address if the
    /// start times are not known.
    bool isEarlierIncarnation(const BackendServer &server) const;
    /// Records that @p server leaves, and logs it.
    /// @return whether this was not known.
    bool recordLeaving(const BackendServer &server, StatementSource source, TimePoint at);
    /// Has the statements of a backend server sent with the next reports.
    void reportStatement(const std::string &id, TimePoint now);
    /// Returns the statements for a report at @p now.
    std::map<std::string, StatementNews> takeStatementNews(TimePoint now);
    /// Records how slow the machine of a backend server is, as it told this router.
    void recordSlowdown(const std::string &backend, double factor, TimePoint now);
    /// Returns the figures on the pace of machines for a report at @p now.
    std::map<std::string, ToldSlowdown> takeSlowdowns(TimePoint now);
    /// Applies the figures of a report.
    void applySlowdowns(const std::map<std::string, ToldSlowdown> &told, TimePoint now);
    /// Records the limit on requests that a backend server named in an answer to this router or a peer.
    /// @param requestsPerSecond infinity if it named none.
    void applyNamedLimit(const std::string &backend, double requestsPerSecond, TimePoint answeredAt);
    /// Applies what a backend server has said to a peer.
    void applyStatementNews(const std::string &id, const StatementNews &news, TimePoint now);
    PlacementCandidate makeCandidate(const BackendServer &server, const std::string &zone, TimePoint now) const;
    std::map<std::string, PeerSequence> peerSequences;
    std::uint64_t reportSequence = 0;
    TimePoint lastReport;
};

}
