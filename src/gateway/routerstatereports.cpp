// The part of RouterState that exchanges reports with other routers.

#include "routerstate.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/route/waitingkeys.h"
#include "cyclamencross/route/workspaceshares.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

namespace
{

// Weight of a peer's outcomes relative to own ones: the fault may lie on the peer's network path.
constexpr double PeerOutcomeWeight = 0.5;
// Maximum number of outcomes of each type that count per report, so that one peer alone does not decide.
constexpr std::uint32_t MaxPeerOutcomes = 4;

}

void RouterState::queueChangesForPeers(const StoreChanges &added)
{
    this->changeQueue.add(added);
}

void RouterState::confirmChanges(TimePoint at)
{
    const TimePoint now = this->environment.now();
    const Clock::duration confirmed = this->environment.bootTime() - (now - at);
    this->ownConfirmedBootTime = std::max(this->ownConfirmedBootTime.value_or(confirmed), confirmed);
    this->freshness.confirm(at);
    this->updateConfirmedBootTime(now);
    this->confirmationPending = true;
}

std::optional<Millis> RouterState::clockOffset(const RouterMember &peer) const
{
    return this->peerClocks.offset(peer.name, peer.incarnation, this->environment.bootTime());
}

void RouterState::updateConfirmedBootTime(TimePoint now)
{
    const Clock::duration confirmed = this->environment.bootTime() - (now - *this->freshness.confirmedAt());
    this->confirmedBootTime = std::max(this->confirmedBootTime.value_or(confirmed), confirmed);
}

void RouterState::forgetUnnamedCertainty()
{
    if (std::exchange(this->isCertainWithoutGeneration, false)) {
        this->freshness.forgetConfirmations();
        this->confirmedBootTime = this->ownConfirmedBootTime;
    }
}

std::optional<Millis> RouterState::certaintyAge() const
{
    if (!this->confirmedBootTime) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Millis>(this->environment.bootTime() - *this->confirmedBootTime);
}

bool RouterState::isCurrent() const
{
    const Millis bound = std::min(this->settings.configBound, this->settings.drainBound);
    const auto age = this->certaintyAge();
    return age && *age <= bound - std::min(StoreFreshness::DecisionMargin, bound / 2);
}

boost::asio::awaitable<bool> RouterState::waitUntilCurrent(TimePoint until) const
{
    const auto isStoreAway = [this] {
        return this->storeLostSince && this->environment.now() - *this->storeLostSince >= StoreFreshness::OutageTrust;
    };
    while (!this->isCurrent() && !isStoreAway() && this->environment.now() < until) {
        co_await this->environment.sleep(CurrencyPollPeriod);
    }
    co_return this->isCurrent() || isStoreAway();
}

QuotaReport RouterState::takeQuotaReport(WorkspaceQuotas::Scope scope, TimePoint now)
{
    const bool besideChanges = scope != WorkspaceQuotas::Scope::Group && !this->changeQueue.isEmpty();
    return this->quotas.takeReport(scope, now,
                                   besideChanges ? MaxWorkspacesBesideChanges : WorkspaceQuotas::MaxReported);
}

std::map<std::string, BackendWork> RouterState::boundedWaiting() const
{
    std::map<std::string, BackendWork> result = this->waiting->own();
    std::vector<std::pair<std::int64_t, std::string>> workspaces;
    for (const auto &[key, waitingWork] : result) {
        if (WaitingKeys::isWorkspace(key)) {
            workspaces.emplace_back(waitingWork.promptTokens, key);
        }
    }
    std::sort(workspaces.rbegin(), workspaces.rend());
    for (std::size_t i = WorkspaceShares::MaxReported; i < workspaces.size(); ++i) {
        result.erase(workspaces[i].second);
    }
    return result;
}

void RouterState::updateWaitingMetrics()
{
    const auto counts = this->urgencyQueue->counts();
    for (const auto &[key, count] : counts) {
        this->waitingMetrics.insert(key);
    }
    for (const auto &key : this->waitingMetrics) {
        const auto count = counts.find(key);
        this->metrics.set("cyclamencross_urgency_waiting", count == counts.end() ? 0 : double(count->second),
                          {{"service", key.first}, {"priority", std::to_string(key.second)}});
    }
    std::erase_if(this->waitingMetrics, [&counts](const auto &key) { return !counts.contains(key); });
}

std::optional<PeerReport> RouterState::takeReport(TimePoint now)
{
    this->updateWaitingMetrics();
    const auto isRepeatedEnough = [now](const auto &item) { return now - item.first > CrashRepeatTime; };
    std::erase_if(this->recentCrashes, isRepeatedEnough);
    std::erase_if(this->recentlyServed, isRepeatedEnough);
    std::erase_if(this->recentStatements, [now](const auto &item) { return now - item.second > StatementRepeatTime; });
    QuotaReport quota = this->takeQuotaReport(WorkspaceQuotas::Scope::Router, now);
    QuotaReport otherGroupsQuota;
    if (this->isPrimaryWatcher() && !this->delegates.empty()) {
        otherGroupsQuota = this->takeQuotaReport(WorkspaceQuotas::Scope::OtherGroups, now);
    }
    const bool quotaChanged =
        !quota.usage.empty() || !otherGroupsQuota.usage.empty() || otherGroupsQuota.heard != this->reportedOthersHeard;
    std::set<std::string> cutOff = this->cutOffServices();
    const bool changed = quotaChanged || cutOff != this->lastReportedCutOff
        || this->work->own() != this->lastReportedWork || this->waiting->own() != this->lastReportedWaiting
        || !this->pendingOutcomes.empty() || !this->pendingLimits.empty() || !this->recentStatements.empty()
        || !this->recentCrashes.empty() || !this->recentlyServed.empty() || !this->changeQueue.isEmpty()
        || this->confirmationPending;
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
    const Clock::duration bootTime = this->environment.bootTime();
    report.sentAt = std::chrono::floor<Millis>(bootTime);
    if (this->ownConfirmedBootTime) {
        report.changesKnownAge = std::chrono::ceil<Millis>(bootTime - *this->ownConfirmedBootTime);
    }
    this->confirmationPending = false;
    report.changes = this->changeQueue.take(this->groupPeers().size() + this->lapsedPeers(now).size(), now);
    report.quota = std::move(quota);
    report.otherGroupsQuota = std::move(otherGroupsQuota);
    this->reportedOthersHeard = report.otherGroupsQuota.heard;
    this->lastReportedCutOff = cutOff;
    report.cutOff = std::move(cutOff);
    report.work = this->work->own();
    report.waiting = this->boundedWaiting();
    report.reportedCalls = std::exchange(this->pendingReportedCalls, {});
    if (this->isPrimaryWatcher() && now - this->otherGroupsWorkTime <= GroupWorkLifetime) {
        report.knowsOtherGroups = true;
        report.otherGroupsWork = this->otherGroupsWork;
    }
    for (auto &[backend, pending] : std::exchange(this->pendingLimits, {})) {
        pending.first.age = std::chrono::duration_cast<Millis>(now - pending.second);
        report.namedLimits[backend] = pending.first;
    }
    report.slowdowns = this->takeSlowdowns(now);
    if (this->serviceVersions.anyHasSeveral()) {
        report.streamOrigins = this->streamOrigins.takeUntold(
            [this](const std::string &service) { return this->serviceVersions.hasSeveral(service); }, now);
    }
    report.statements = this->takeStatementNews(now);
    report.outcomes = std::exchange(this->pendingOutcomes, {});
    report.streams = std::exchange(this->pendingStreams, {});
    for (const auto &[time, call] : this->recentCrashes) {
        report.crashes.push_back(call);
        report.crashes.back().age += std::chrono::duration_cast<Millis>(now - time);
    }
    for (const auto &[time, suspect] : this->recentlyServed) {
        report.servedSuspects.push_back(suspect);
        report.servedSuspects.back().age = std::chrono::duration_cast<Millis>(now - time);
    }
    this->lastReportedWork = report.work;
    this->lastReportedWaiting = this->waiting->own();
    this->lastReport = now;
    return report;
}

std::optional<PeerReport> RouterState::crashNews(const PeerReport &report)
{
    if (report.crashes.empty() && report.servedSuspects.empty()) {
        return std::nullopt;
    }
    PeerReport news;
    news.router = report.router;
    news.incarnation = report.incarnation;
    news.isCrashNews = true;
    news.crashes = report.crashes;
    news.servedSuspects = report.servedSuspects;
    return news;
}

void RouterState::applyCrashNews(const PeerReport &report, TimePoint now)
{
    for (const CrashedCall &call : report.crashes) {
        this->crashes.addCrash(call, now);
    }
    for (const ServedSuspect &suspect : report.servedSuspects) {
        this->crashes.addServed(suspect.name, suspect.outputTime, suspect.age, now);
    }
}

std::optional<PeerReport> RouterState::takeGroupReport(TimePoint now)
{
    if (!this->isPrimaryWatcher() || this->otherDelegates().empty()
        || (this->sharedBackends.empty() && !this->quotas.isActive())
        || now - this->lastGroupReport < GroupReportPeriod) {
        return std::nullopt;
    }
    this->lastGroupReport = now;
    this->sumGroupWork(now);
    PeerReport report;
    report.router = this->settings.name;
    report.incarnation = this->incarnation;
    report.sequence = ++this->groupReportSequence;
    report.isGroupReport = true;
    report.quota = this->takeQuotaReport(WorkspaceQuotas::Scope::Group, now);
    report.stageLoads = this->ownStageLoads();
    for (const auto &[id, groups] : this->sharedBackends) {
        const BackendWork total = this->work->total(id);
        if (total != BackendWork()) {
            report.groupWork[id] = total;
        }
    }
    return report;
}

void RouterState::sumGroupWork(TimePoint now)
{
    std::erase_if(this->groupWork, [this, now](const auto &item) {
        const bool isDelegate =
            std::any_of(this->sharingDelegates.begin(), this->sharingDelegates.end(),
                        [&item](const RouterMember &delegate) { return delegate.name == item.first; });
        return !isDelegate || now - item.second.second > GroupWorkLifetime;
    });
    if (this->groupWork.size() < this->sharingDelegates.size()) {
        return; // Without the work of each group, the extrapolation is more accurate.
    }
    this->otherGroupsWork.clear();
    for (const auto &[delegate, work] : this->groupWork) {
        for (const auto &[id, backendWork] : work.first) {
            this->otherGroupsWork[id] += backendWork;
        }
    }
    this->otherGroupsWorkTime = now;
}

const std::vector<RouterMember> &RouterState::otherDelegates() const
{
    return this->quotas.isActive() ? this->delegates : this->sharingDelegates;
}

std::optional<Clock::duration> RouterState::ageOfAnswer(const PeerReport &report) const
{
    if (report.changesKnownAge < Millis(0)) {
        return std::nullopt;
    }
    // The time of arrival says nothing about the age: the report may have waited in queues for seconds.
    const Clock::duration sentAt = report.sentAt - report.clockOffset.value_or(Millis(0));
    const Clock::duration transit = std::max(Clock::duration(0), this->environment.bootTime() - sentAt);
    return report.changesKnownAge + (report.clockOffset ? transit : Clock::duration(0));
}

bool RouterState::isNewer(const PeerReport &report, std::map<std::string, PeerSequence> &sequences) const
{
    PeerSequence &last = sequences[report.router];
    bool newer = report.sequence > last.sequence;
    if (report.incarnation != last.incarnation) {
        // The store knows the latest process of a router. Incarnations begin with the time of day, which may have been
        // set back since the start of the process before.
        const RouterMember *registered = this->members.find(report.router);
        const bool isKnown = registered != nullptr && registered->incarnation == last.incarnation;
        const bool isRegistered = registered != nullptr && registered->incarnation == report.incarnation;
        newer = isRegistered || (!isKnown && report.incarnation > last.incarnation);
    }
    if (newer) {
        last = PeerSequence{report.incarnation, report.sequence};
    } else if (report.incarnation != last.incarnation && report.incarnation != last.ignoredIncarnation) {
        last.ignoredIncarnation = report.incarnation;
        LogLine("reports-ignored")
            .add("router", report.router)
            .add("incarnation", report.incarnation)
            .add("used", last.incarnation)
            .warn();
    }
    return newer;
}

void RouterState::applyReport(const PeerReport &report, TimePoint now)
{
    if (report.router == this->settings.name) {
        return;
    }
    if (report.isCrashNews) {
        this->applyCrashNews(report, now);
        return;
    }
    if (report.isGroupReport) {
        if (this->isPrimaryWatcher() && isNewer(report, this->groupReportSequences)) {
            this->groupWork[report.router] = {report.groupWork, now};
            this->quotas.applyReport(WorkspaceQuotas::Scope::Group, report.router, report.incarnation, report.quota,
                                     now);
            std::erase_if(this->groupStageLoads,
                          [now](const auto &item) { return now - item.second.second > GroupWorkLifetime; });
            this->groupStageLoads[report.router] = {report.stageLoads, now};
        }
        return;
    }
    if (!isNewer(report, this->peerSequences)) {
        return;
    }
    if (!report.namesGenerations) {
        PeerReport named = report;
        this->nameGenerations(named);
        const auto before = this->freshness.confirmedAt();
        this->applyPeerReport(named, now);
        this->isCertainWithoutGeneration = this->isCertainWithoutGeneration || this->freshness.confirmedAt() != before;
        return;
    }
    this->applyPeerReport(report, now);
}

void RouterState::nameGenerations(PeerReport &report) const
{
    report.namesGenerations = true;
    if (this->hasStoreReturned) {
        // A router that knows no generations takes numbers that the store has given out again for known ones, so what
        // it says of the store's changes does not count.
        report.changes = StoreChanges();
        report.changesKnownAge = Millis(-1);
        report.watching = false;
        report.storeRevision = StoreRevision();
        return;
    }
    report.setGenerations(this->storeGeneration, this->storeGeneration, this->storeGeneration);
}

void RouterState::applyPeerReport(const PeerReport &report, TimePoint now)
{
    if (report.knowsOtherGroups && !this->isPrimaryWatcher()) {
        this->otherGroupsWork = report.otherGroupsWork;
        this->otherGroupsWorkTime = now;
    }
    this->quotas.applyReport(WorkspaceQuotas::Scope::Router, report.router, report.incarnation, report.quota, now);
    if (!this->isPrimaryWatcher()) {
        this->quotas.applyReport(WorkspaceQuotas::Scope::OtherGroups, report.router, report.incarnation,
                                 report.otherGroupsQuota, now);
    }
    this->newestPeerRevision = std::max(this->newestPeerRevision, report.storeRevision);
    if (report.watching) {
        this->lastWatcherReport = now;
    }
    this->peerClocks.record(report.router, report.incarnation, report.sentAt, this->environment.bootTime());
    const std::optional<Clock::duration> age = this->ageOfAnswer(report);
    if (age) {
        this->freshness.recordAnswer(now - *age); // Before the changes: entries may have expired in an outage.
    }
    if (report.changes.upTo != StoreRevision() && this->onPeerChanges) {
        this->onPeerChanges(report.changes);
    }
    if (age && report.clockOffset && this->storeRevision >= report.storeRevision) {
        this->freshness.confirm(now - *age);
        this->updateConfirmedBootTime(now);
    }
    if (report.cutOff.empty()) {
        this->peerCutOff.erase(report.router);
    } else {
        this->peerCutOff[report.router] = {report.cutOff, now};
    }
    this->work->setPeerWork(report.router, report.work, now);
    this->waiting->setPeerWork(report.router, report.waiting, now);
    for (const auto &[backend, calls] : report.reportedCalls) {
        if (this->sharedBackends.contains(backend)) {
            this->reportedCalls[backend] = {calls, now};
        }
    }
    this->streamOrigins.learn(report.streamOrigins, false, now);
    this->applySlowdowns(report.slowdowns, now);
    for (const auto &[backend, limit] : report.namedLimits) {
        const bool isPlausible =
            limit.requestsPerSecond >= 0 && limit.age >= Millis(0) && limit.age < NamedRateLimits::EndLifetime;
        if (isPlausible) {
            this->applyNamedLimit(backend, limit.requestsPerSecond, now - limit.age);
        }
    }
    for (const auto &[backend, news] : report.statements) {
        this->applyStatementNews(backend, news, now);
    }
    for (const auto &item : report.outcomes) {
        const std::string &backend = item.first;
        const PeerReport::Outcomes &outcomes = item.second;
        const auto addOutcomes = [&](CallOutcome outcome, std::uint32_t count) {
            for (std::uint32_t i = 0; i < std::min(count, MaxPeerOutcomes); ++i) {
                this->health.add(backend, outcome, now, PeerOutcomeWeight);
            }
        };
        if (outcomes.paceSamples > 0) {
            this->applyPace(backend, outcomes.paceSum / outcomes.paceSamples, now, PeerOutcomeWeight);
        }
        addOutcomes(CallOutcome::Failed, outcomes.failed);
        addOutcomes(CallOutcome::Broken, outcomes.broken);
        // A peer's success must not end the avoidance of a backend server that this router can't reach.
        if (!this->health.isAvoided(backend, now)) {
            addOutcomes(CallOutcome::Served, outcomes.served);
        }
    }
    for (const StreamSample &sample : report.streams) {
        this->outputEstimator.record(sample);
        this->routeDurations.record(sample);
    }
    this->applyCrashNews(report, now);
}

}
