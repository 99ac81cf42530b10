#include "routerstate.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/route/subset.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// Weight of a peer's outcomes against own ones: the fault may lie on the peer's path.
constexpr double PeerOutcomeWeight = 0.5;
// Most outcomes of one message that count, so that one peer does not decide alone.
constexpr std::uint32_t MaxPeerOutcomes = 4;
// Come-back times. The shortest lets a burst of some hundred milliseconds pass; the spread is as long again.
constexpr std::int64_t ShortestComeBackMillis = 150;
constexpr std::int64_t ComeBackSpreadMillis = 350;

}

RouterState::RouterState(const boost::asio::any_io_executor &executor, RouterSettings settings,
                         std::uint64_t incarnation)
    : executor(executor)
    , settings(std::move(settings))
    , incarnation(incarnation)
    , retries(this->settings.retryRatio, this->settings.retrySlack, this->settings.retryWindow)
    , links(executor)
    , generator(randomNumber())
{
}

std::vector<PlacementCandidate> RouterState::candidates(const std::string &service, EngineStage stage,
                                                        const std::set<std::string> &excluded, const std::string &zone,
                                                        TimePoint now) const
{
    std::vector<PlacementCandidate> result;
    const auto kind = this->kinds.find({service, stage});
    if (kind == this->kinds.end()) {
        return result;
    }
    for (const std::string &id : kind->second.own) {
        const BackendServer *server = this->backends.find(id);
        if (server != nullptr && !server->draining && !excluded.contains(id)) {
            result.push_back(this->describe(*server, zone, now));
        }
    }
    return result;
}

std::vector<PlacementCandidate> RouterState::sampleOutside(const std::string &service, EngineStage stage,
                                                           const std::set<std::string> &excluded, TimePoint now)
{
    std::vector<PlacementCandidate> result;
    const auto kind = this->kinds.find({service, stage});
    if (kind == this->kinds.end()) {
        return result;
    }
    std::size_t seen = 0;
    for (const std::string &id : kind->second.outside) {
        const BackendServer *server = this->backends.find(id);
        if (server == nullptr || server->draining || excluded.contains(id)) {
            continue;
        }
        // Each of the candidates met so far is in the sample with the same probability.
        const auto place = std::size_t(this->random() * double(++seen));
        if (result.size() < OutsideSample) {
            result.push_back(this->describe(*server, this->settings.zone, now));
        } else if (place < OutsideSample) {
            result[place] = this->describe(*server, this->settings.zone, now);
        }
    }
    return result;
}

PlacementCandidate RouterState::describe(const BackendServer &server, const std::string &zone, TimePoint now) const
{
    PlacementCandidate candidate;
    candidate.server = server;
    candidate.work = this->work->total(server.id);
    if (this->backendsShared.contains(server.id)) {
        // The other groups place as much there as this one, unseen.
        candidate.work.requests *= std::int64_t(this->groups);
        candidate.work.promptTokens *= std::int64_t(this->groups);
        candidate.work.memoryTokens *= std::int64_t(this->groups);
        const auto told = this->callsThere.find(server.id);
        if (told != this->callsThere.end() && now - told->second.second <= ToldLoadLifetime) {
            candidate.callsThere = told->second.first;
        }
        candidate.estimated = !candidate.callsThere;
    }
    candidate.avoided = this->health.isAvoided(server.id, now);
    candidate.failureRate = this->health.failureRate(server.id, now);
    candidate.prefillPace = this->health.prefillPace(server.id);
    const auto full = this->fullUntil.find(server.id);
    candidate.full = full != this->fullUntil.end() && now < full->second;
    candidate.sameZone = server.zone == zone;
    return candidate;
}

bool RouterState::isChosenWatcher() const
{
    return this->watcherRank < WatchersPerGroup;
}

bool RouterState::isFirstWatcher() const
{
    return this->watcherRank == 0;
}

bool RouterState::hearsWatcher(TimePoint now) const
{
    return now - this->watcherHeard <= WatcherLifetime;
}

void RouterState::passOnChanges(const StoreChanges &more)
{
    if (this->changes.upTo == 0 || this->changes.upTo < more.after) {
        // What lies between was learned from a peer and is not in these changes.
        this->changes = StoreChanges();
        this->changes.after = more.after;
    }
    this->changes.upTo = std::max(this->changes.upTo, more.upTo);
    this->changes.difference = this->changes.difference || more.difference;
    this->changes.items.insert(this->changes.items.end(), more.items.begin(), more.items.end());
    std::size_t size = 0;
    for (const StoreItem &item : this->changes.items) {
        size += item.key.size() + item.value.size();
    }
    if (size > MaxChangesBytes) {
        this->changes = StoreChanges();
    }
}

const std::vector<RouterMember> &RouterState::groupPeers() const
{
    return this->peersOfGroup;
}

void RouterState::regroup()
{
    std::vector<std::string> names;
    this->members.forEach(
        [&names](const std::string &name, const RouterMember & /*member*/) { names.push_back(name); });
    this->groups = Subset::groupCount(names.size());
    const auto groupOfRouter = Subset::divide(names, this->groups);
    const auto own = groupOfRouter.find(this->settings.name);
    const std::size_t ownGroup = own == groupOfRouter.end() ? 0 : own->second;
    this->peersOfGroup.clear();
    this->members.forEach([&](const std::string &name, const RouterMember &member) {
        if (name != this->settings.name && groupOfRouter.at(name) == ownGroup) {
            this->peersOfGroup.push_back(member);
        }
    });
    const std::uint64_t ownOrder = hash64(this->settings.name);
    const auto before = std::count_if(this->peersOfGroup.begin(), this->peersOfGroup.end(),
                                      [ownOrder](const RouterMember &peer) { return hash64(peer.name) < ownOrder; });
    this->watcherRank = std::size_t(before);
    this->kinds.clear();
    this->backendsShared.clear();
    std::map<Kind, std::vector<std::string>> byKind;
    this->backends.forEach([&byKind](const std::string &id, const BackendServer &server) {
        byKind[{server.service, server.stage}].push_back(id);
    });
    for (auto &[kind, ids] : byKind) {
        Members &members = this->kinds[kind];
        if (this->groups == 1 || ids.size() < this->groups * Subset::MinBackendsPerGroup) {
            if (this->groups > 1) {
                this->backendsShared.insert(ids.begin(), ids.end());
            }
            members.own = std::move(ids);
            continue;
        }
        for (const auto &[id, group] : Subset::divide(ids, this->groups)) {
            (group == ownGroup ? members.own : members.outside).push_back(id);
        }
    }
    std::erase_if(this->callsThere, [this](const auto &item) { return !this->backendsShared.contains(item.first); });
}

bool RouterState::isUsable(const BackendServer &server) const
{
    const BackendServer *known = this->backends.find(server.id);
    return known != nullptr && !known->draining && known->address == server.address;
}

void RouterState::noteOutcome(const std::string &backend, CallOutcome outcome, TimePoint now)
{
    this->health.add(backend, outcome, now);
    PeerReport::Outcomes &outcomes = this->untold[backend];
    outcomes.served += outcome == CallOutcome::Served ? 1 : 0;
    outcomes.failed += outcome == CallOutcome::Failed ? 1 : 0;
    outcomes.broken += outcome == CallOutcome::Broken || outcome == CallOutcome::Unreachable ? 1 : 0;
}

void RouterState::noteCallsThere(const std::string &backend, std::int64_t calls, TimePoint now)
{
    if (this->backendsShared.contains(backend)) {
        this->callsThere[backend] = {calls, now};
        this->untoldCalls[backend] = calls;
    }
}

void RouterState::noteFull(const std::string &backend, TimePoint now)
{
    std::erase_if(this->fullUntil, [now](const auto &item) { return item.second <= now; });
    this->fullUntil[backend] = now + FullTime;
}

void RouterState::noteCrash(const CrashReport &crash)
{
    if (this->crashes.add(crash)) {
        this->recentCrashes.emplace_back(Clock::now(), crash);
    }
}

std::optional<PeerReport> RouterState::takeReport(TimePoint now)
{
    std::erase_if(this->recentCrashes, [now](const auto &item) { return now - item.first > CrashRetellTime; });
    const bool changed = this->work->own() != this->toldWork || this->waiting->own() != this->toldWaiting
        || !this->untold.empty() || !this->recentCrashes.empty() || this->changes.upTo != 0;
    const bool due = now - this->lastReport >= ReportPeriod;
    if (!changed && !due) {
        return std::nullopt;
    }
    PeerReport report;
    report.router = this->settings.name;
    report.incarnation = this->incarnation;
    report.sequence = ++this->reportSequence;
    report.storeRevision = this->storeRevision;
    report.watching = this->watching;
    report.changes = std::exchange(this->changes, {});
    report.work = this->work->own();
    report.waiting = this->waiting->own();
    report.callsThere = std::exchange(this->untoldCalls, {});
    report.outcomes = std::exchange(this->untold, {});
    for (const auto &[time, crash] : this->recentCrashes) {
        report.crashes.push_back(crash);
    }
    this->toldWork = report.work;
    this->toldWaiting = report.waiting;
    this->lastReport = now;
    return report;
}

void RouterState::addReport(const PeerReport &report, TimePoint now)
{
    PeerSequence &last = this->peerSequences[report.router];
    const bool newer = report.incarnation > last.incarnation
        || (report.incarnation == last.incarnation && report.sequence > last.sequence);
    if (!newer || report.router == this->settings.name) {
        return;
    }
    last = PeerSequence{report.incarnation, report.sequence};
    this->peersStoreRevision = std::max(this->peersStoreRevision, report.storeRevision);
    if (report.watching) {
        this->watcherHeard = now;
    }
    if (report.changes.upTo != 0 && this->onPeerChanges) {
        this->onPeerChanges(report.changes);
    }
    this->work->setPeer(report.router, report.work, now);
    this->waiting->setPeer(report.router, report.waiting, now);
    for (const auto &[backend, calls] : report.callsThere) {
        if (this->backendsShared.contains(backend)) {
            this->callsThere[backend] = {calls, now};
        }
    }
    for (const auto &item : report.outcomes) {
        const std::string &backend = item.first;
        const PeerReport::Outcomes &outcomes = item.second;
        const auto addAll = [&](CallOutcome outcome, std::uint32_t count) {
            for (std::uint32_t i = 0; i < std::min(count, MaxPeerOutcomes); ++i) {
                this->health.add(backend, outcome, now, PeerOutcomeWeight);
            }
        };
        addAll(CallOutcome::Failed, outcomes.failed);
        addAll(CallOutcome::Broken, outcomes.broken);
        // A peer's success must not end the avoidance of a backend server that this router can't reach.
        if (!this->health.isAvoided(backend, now)) {
            addAll(CallOutcome::Served, outcomes.served);
        }
    }
    for (const CrashReport &crash : report.crashes) {
        this->crashes.add(crash);
    }
}

double RouterState::random()
{
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

Millis RouterState::comeBackIn()
{
    return Millis(ShortestComeBackMillis + std::int64_t(this->random() * double(ComeBackSpreadMillis)));
}

std::size_t RouterState::routerCount() const
{
    return std::max<std::size_t>(1, this->members.size());
}

bool RouterState::isReady() const
{
    return !this->stopping && this->table != nullptr && this->backendsKnown;
}

}
