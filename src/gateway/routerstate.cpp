#include "routerstate.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/route/retryafter.h"
#include "cyclamencross/route/subsetting.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

RouterState::RouterState(const boost::asio::any_io_executor &executor, RouterSettings settings,
                         std::uint64_t incarnation, RouterEnvironment environment)
    : environment(std::move(environment))
    , executor(executor)
    , settings(std::move(settings))
    , incarnation(incarnation)
    , namedLimits(std::make_shared<NamedRateLimits>(
          hash64(this->settings.name),
          [this](const std::string &backend) -> const std::vector<std::uint64_t> & { return this->routersOf(backend); },
          [this](const std::string &backend, double requestsPerSecond, double before) {
              this->logNamedLimit(backend, requestsPerSecond, before);
          }))
    , bodyMemory(std::make_shared<MemoryBudget>(this->settings.bodyMemoryBytes()))
    , quotas(this->settings.bootstrap, this->settings.quotaSlack)
    , retryBudget(this->settings.retryRatio, this->settings.retrySlack, this->settings.retryWindow)
    , crashes([this](const std::string &suspect) { return this->isTrialRouter(suspect); },
              [this](const std::string &suspect, int count) {
                  LogLine("containment")
                      .add("suspect", suspect)
                      .add("crashes", count)
                      .add("state", count > 0 ? "begun" : "ended")
                      .warn();
                  this->metrics.set("cyclamencross_contained_suspects", double(this->crashes.containments().size()));
              })
    , connections(executor)
    , generator(this->environment.seed)
{
}

std::vector<PlacementCandidate> RouterState::candidates(const std::string &service, EngineStage stage,
                                                        const std::set<std::string> &excluded, const std::string &zone,
                                                        TimePoint now, const ServerFilter &mayUse) const
{
    std::vector<PlacementCandidate> result;
    const auto pool = this->pools.find({service, stage});
    if (pool == this->pools.end()) {
        return result;
    }
    for (const std::string &id : pool->second.own) {
        const BackendServer *server = this->backends.find(id);
        if (server != nullptr && this->mayTakeRequests(*server, now) && !excluded.contains(id)
            && (!mayUse || mayUse(*server))) {
            result.push_back(this->makeCandidate(*server, zone, now));
        }
    }
    return result;
}

PlacementCandidate RouterState::makeCandidate(const BackendServer &server, const std::string &zone, TimePoint now) const
{
    PlacementCandidate candidate;
    candidate.server = server;
    candidate.work = this->work->total(server.id);
    if (const auto shared = this->sharedBackends.find(server.id); shared != this->sharedBackends.end()) {
        const bool othersKnown = now - this->otherGroupsWorkTime <= GroupWorkLifetime;
        if (const auto others = this->otherGroupsWork.find(server.id);
            othersKnown && others != this->otherGroupsWork.end()) {
            candidate.work += others->second;
        } else if (!othersKnown) {
            // Extrapolates from the work of this group.
            const auto groups = std::int64_t(shared->second.count);
            candidate.work.requests *= groups;
            candidate.work.promptTokens *= groups;
            candidate.work.kvCache *= groups;
        }
        candidate.isShared = true;
        const auto reported = this->reportedCalls.find(server.id);
        if (reported != this->reportedCalls.end() && now - reported->second.second <= ReportedLoadLifetime) {
            candidate.reportedCalls = reported->second.first;
        }
        candidate.workIsEstimated = !candidate.reportedCalls && !othersKnown;
    }
    candidate.atNamedLimit = !this->namedLimits->mayRequest(server.id);
    candidate.isPausedForPeer = this->statements.isPausedForPeer(server.id, now);
    candidate.avoided = this->health.isAvoided(server.id, now);
    candidate.failureRate = this->health.failureRate(server.id, now);
    candidate.toldSlowdown = this->slowdowns.find(server.id, now);
    candidate.slowness = this->health.slowness(server.id, now);
    candidate.prefillMillisPerToken = this->health.prefillMillisPerToken(server.id);
    const auto full = this->fullUntil.find(server.id);
    candidate.reservationRefused = full != this->fullUntil.end() && now < full->second;
    candidate.sameZone = server.zone == zone;
    return candidate;
}

bool RouterState::isDesignatedWatcher() const
{
    return this->rankInGroup < WatchersPerGroup;
}

bool RouterState::isPrimaryWatcher() const
{
    return this->rankInGroup == 0;
}

std::size_t RouterState::watcherRank() const
{
    return this->rankInGroup;
}

bool RouterState::hasLiveWatcher(TimePoint now) const
{
    return now - this->lastWatcherReport <= WatcherLifetime;
}

void RouterState::requestRegroup(TimePoint now)
{
    this->regroupPending = true;
    this->regroupIfPending(now);
}

void RouterState::regroupIfPending(TimePoint now)
{
    if (this->regroupPending && now - this->lastRegroup >= RegroupInterval) {
        this->lastRegroup = now;
        this->regroup();
    }
}

std::size_t RouterState::groupCount() const
{
    return this->groupPlan.groupCount();
}

const std::vector<RouterMember> &RouterState::groupPeers() const
{
    return this->peersOfGroup;
}

std::vector<RouterMember> RouterState::lapsedPeers(TimePoint now)
{
    std::erase_if(this->lapsed, [this, now](const auto &item) {
        return now >= item.second.second || this->members.find(item.first) != nullptr;
    });
    std::vector<RouterMember> result;
    for (const auto &[name, peer] : this->lapsed) {
        result.push_back(peer.first);
    }
    return result;
}

const std::vector<RouterMember> &RouterState::otherGroupsRouters() const
{
    return this->routersOfOtherGroups;
}

bool RouterState::isUsable(const BackendServer &server, TimePoint now) const
{
    return this->isRegistered(server) && this->mayTakeRequests(server, now);
}

bool RouterState::isRegistered(const BackendServer &server) const
{
    const BackendServer *known = this->backends.find(server.id);
    return known != nullptr && !known->draining && known->address == server.address && known->version == server.version;
}

bool RouterState::isEligible(const BackendServer &server) const
{
    const auto planned = this->stagePlan.stages.find(server.id);
    return !server.draining && (planned == this->stagePlan.stages.end() || planned->second == server.stage);
}

bool RouterState::mayTakeRequests(const BackendServer &server, TimePoint now) const
{
    return this->isEligible(server) && !this->statements.isSilent(server.id, now);
}

std::optional<std::string> RouterState::onlyVersion(const std::string &service) const
{
    const auto version = this->serviceVersions.only(service);
    const auto registered = this->registeredVersions.find(service);
    const bool othersRegistered = version && registered != this->registeredVersions.end()
        && std::any_of(registered->second.begin(), registered->second.end(),
                       [&version](const std::string &other) { return other != *version; });
    const auto age = this->certaintyAge();
    const bool certain = age && *age <= VersionPlanner::TrustAge;
    return othersRegistered || !certain ? std::nullopt : version;
}

bool RouterState::isVersionServing(const std::string &service, const std::string &version) const
{
    const auto serving = this->servingVersions.find(service);
    return serving != this->servingVersions.end() && serving->second.contains(version);
}

int RouterState::writerRank() const
{
    const std::uint64_t ownHash = hash64(this->settings.name);
    int lower = 0;
    this->members.forEach(
        [&](const std::string &name, const RouterMember & /*member*/) { lower += hash64(name) < ownHash ? 1 : 0; });
    return lower;
}

bool RouterState::isLeader() const
{
    return this->leadership.router == this->settings.name && this->leadership.incarnation == this->incarnation
        && this->leadership.lease != 0 && this->leadership.lease == this->registrationLease;
}

bool RouterState::hasFormerRecord() const
{
    return this->hasStoreReturned && this->leadership.router == this->settings.name
        && this->leadership.incarnation == this->incarnation && !this->isLeader();
}

std::uint64_t RouterState::fencingToken() const
{
    const StoreRevision &record = this->leadership.revision;
    // Generations begin with 0 or 1: a store of a later one has returned before, whether or not a router has seen it.
    const std::uint64_t first = std::min(this->lowestGeneration.value_or(0), FirstGeneration);
    const std::uint64_t returns = record.generation() - std::min(record.generation(), first);
    return returns * TokensPerGeneration + record.number();
}

void RouterState::recordOutcome(const std::string &backend, CallOutcome outcome, TimePoint now)
{
    this->health.add(backend, outcome, now);
    PeerReport::Outcomes &outcomes = this->pendingOutcomes[backend];
    outcomes.served += outcome == CallOutcome::Served ? 1 : 0;
    outcomes.failed += outcome == CallOutcome::Failed ? 1 : 0;
    outcomes.broken += outcome == CallOutcome::Broken || outcome == CallOutcome::Unreachable ? 1 : 0;
}

void RouterState::recordReportedCalls(const std::string &backend, std::int64_t calls, TimePoint now)
{
    if (this->sharedBackends.contains(backend)) {
        this->reportedCalls[backend] = {calls, now};
        this->pendingReportedCalls[backend] = calls;
    }
}

void RouterState::recordNamedLimit(const std::string &backend, double requestsPerSecond, TimePoint now)
{
    this->applyNamedLimit(backend, requestsPerSecond, now);
    if (this->namedLimits->isKnown(backend)) {
        this->pendingLimits[backend] = {NamedLimit{requestsPerSecond, Millis(0)}, now};
    }
}

const std::vector<std::uint64_t> &RouterState::routersOf(const std::string &backend) const
{
    static const std::vector<std::uint64_t> None;
    // Which routers use a server is known from its registration. In a gap of it, each group would take the whole rate.
    if (this->backends.find(backend) == nullptr || this->foreignBackends.contains(backend)) {
        return None;
    }
    const auto shared = this->sharedBackends.find(backend);
    if (shared == this->sharedBackends.end()) {
        return this->groupHashes;
    }
    return shared->second.count == this->groupPlan.groupCount() ? this->routerHashes : this->regionHashes;
}

void RouterState::logNamedLimit(const std::string &backend, double requestsPerSecond, double before)
{
    LogLine("backend-limit")
        .add("backend", backend)
        .add("requests_per_second", std::isinf(requestsPerSecond) ? -1 : requestsPerSecond)
        .add("before", std::isinf(before) ? -1 : before)
        .write();
    this->metrics.set("cyclamencross_limited_backends", double(this->namedLimits->count()));
}

void RouterState::recordPace(const std::string &backend, double millisPerToken, TimePoint now)
{
    this->applyPace(backend, millisPerToken, now, 1);
    PeerReport::Outcomes &outcomes = this->pendingOutcomes[backend];
    outcomes.paceSamples += 1;
    outcomes.paceSum += millisPerToken;
}

void RouterState::applyPace(const std::string &backend, double millisPerToken, TimePoint now, double weight)
{
    if (this->health.addPaceSample(backend, millisPerToken, now, weight)) {
        LogLine("engine-pace")
            .add("backend", backend)
            .add("slowness", this->health.slowness(backend, now))
            .add("millis_per_token", millisPerToken)
            .add("from", weight < 1 ? "peer" : "own")
            .write();
    }
}

void RouterState::recordStream(const StreamSample &sample)
{
    this->outputEstimator.record(sample);
    this->routeDurations.record(sample);
    if (this->pendingStreams.size() < MaxReportedStreams) {
        this->pendingStreams.push_back(sample);
    }
}

void RouterState::markFull(const std::string &backend, TimePoint now)
{
    std::erase_if(this->fullUntil, [now](const auto &item) { return item.second <= now; });
    this->fullUntil[backend] = now + FullLifetime;
}

void RouterState::recordCrash(CrashedCall call, TimePoint now)
{
    for (CrashSuspect &suspect : call.suspects) {
        suspect.servedBefore = this->crashes.wasServed(suspect.name, call.outputTime);
    }
    if (!this->crashes.addCrash(call, now)) {
        return;
    }
    if (this->recentCrashes.size() < MaxReportedCrashes) {
        this->recentCrashes.emplace_back(now, std::move(call));
        return;
    }
    // Of many streams that break off together, those with the least output say most about the cause.
    const auto longest =
        std::max_element(this->recentCrashes.begin(), this->recentCrashes.end(),
                         [](const auto &a, const auto &b) { return a.second.outputTime < b.second.outputTime; });
    if (call.outputTime < longest->second.outputTime) {
        *longest = {now, std::move(call)};
    }
}

void RouterState::recordServed(const std::vector<std::string> &suspects, Millis outputTime, TimePoint now)
{
    for (std::string &suspect : this->crashes.recordServed(suspects, outputTime, now)) {
        this->recentlyServed.emplace_back(now, ServedSuspect{std::move(suspect), Millis(0), outputTime});
    }
}

bool RouterState::isTrialRouter(const std::string &suspect) const
{
    std::pair<std::uint64_t, std::string> lowest(hash64(this->settings.name + suspect), this->settings.name);
    const std::string own = this->settings.name;
    this->members.forEach([&](const std::string &name, const RouterMember & /*member*/) {
        lowest = std::min(lowest, std::pair(hash64(name + suspect), name));
    });
    return lowest.second == own;
}

double RouterState::random()
{
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

Millis RouterState::retryAfterDelay()
{
    return this->stopSchedule && this->hasOtherRouters() ? RetryAfter::atAnotherRouter(this->random())
                                                         : RetryAfter::afterDisturbance(this->random());
}

std::size_t RouterState::routerCount() const
{
    return std::max<std::size_t>(1, this->members.size());
}

bool RouterState::hasOtherRouters() const
{
    return !this->peersOfGroup.empty() || !this->routersOfOtherGroups.empty();
}

bool RouterState::isReady() const
{
    return !this->stopping && this->table != nullptr && this->backendsKnown;
}

}
