#include "cyclamencross/route/workspacequotas.h"

#include "cyclamencross/base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Cyclamen
{

namespace
{

// Time in which the bucket above its reserve may be used up while several routers are asked for more than its rate.
// More than twice the mean delay of reports, so that their joint control does not swing.
constexpr double DrainSeconds = 0.4;
// Part of the bucket, in time at the rate, that takes up what routers admit before they hear of one another. It is lost
// to the workspace once in an overload, so it has to be small against 5% of 8 s.
constexpr double ReserveSeconds = 0.15;
constexpr double MaxReserveShare = 0.25;
// Debt that a single admission may leave while others are asked too, in time at the rate: within the slack of half a
// second, so that larger requests need not wait for a level that the small ones of others use up.
constexpr double ThinnedDebtSeconds = 0.4;
// Cost relative to the bucket up to which a request that counts in tokens is small, and the part of the bucket, in time
// at the rate, that larger requests leave to small ones. A plain call costs a few hundredths of a stream, so refusing
// it makes no room for others, and its caller loses as much as one of a stream.
constexpr double SmallCostShare = 0.02;
constexpr double SmallReserveSeconds = 0.4;
// Debt that small requests may leave, in time at the rate.
constexpr double SmallDebtSeconds = 0.6;
// How far the cost of a single request may exceed the burst, in time at the rate.
constexpr double OversizeSeconds = 1;
// Mean delay of the reports of a router of the group (half of a period), and by way of two delegates (three halves).
constexpr double PeerLagSeconds = 0.06;
constexpr double GroupLagSeconds = 0.11;
constexpr double OtherGroupsLagSeconds = 0.16;
// Largest error of the exchange that the slack has to cover, in time at the rate; see docs/design/quotas.md.
constexpr double ExchangeErrorSeconds = 0.5;
// Part of the rest of the slack that is added to the burst, and part of the slack with which buckets start in a running
// system: what was used before a restart of all routers is not known.
constexpr double BurstShareOfSlack = 0.8;
constexpr double StartShareOfSlack = 0.1;
// Longest wait that a refusal names. Callers that are told to wait longer would be late for a raised quota.
constexpr Millis MaxRetryAfter{30000};
constexpr Millis MinRetryAfter{50};
constexpr double RandomDigits = 4096;
// Part of the rate that refusals promise; new requests take the rest. With the whole rate, half of the callers are
// refused again while the overload lasts.
constexpr double PromisedShare = 0.7;

}

bool QuotaDecision::isAdmitted() const
{
    return this->verdict == Verdict::Unlimited || this->verdict == Verdict::Admitted;
}

WorkspaceQuotas::WorkspaceQuotas(bool startsFull, double slack)
    : startsFull(startsFull)
    , slack(slack)
{
}

WorkspaceQuota WorkspaceQuotas::tolerantQuota(const WorkspaceQuota &quota) const
{
    WorkspaceQuota tolerant = quota;
    const double left = this->slack - quota.ratePerSecond * ExchangeErrorSeconds;
    tolerant.burst += std::max(0.0, left) * BurstShareOfSlack;
    return tolerant;
}

std::uint64_t WorkspaceQuotas::idOf(const WorkspaceConfig &workspace)
{
    return hash64(workspace.name, std::uint64_t(workspace.quota.unit));
}

void WorkspaceQuotas::configure(const std::vector<WorkspaceConfig> &workspaces, TimePoint now)
{
    std::map<std::string, Workspace> before = std::exchange(this->limited, {});
    this->limitedById.clear();
    for (const WorkspaceConfig &config : workspaces) {
        if (!config.quota.isLimited()) {
            continue;
        }
        const std::uint64_t id = idOf(config);
        const WorkspaceQuota quota = this->tolerantQuota(config.quota);
        const auto known = before.find(config.name);
        if (known != before.end() && known->second.id == id) {
            this->advance(known->second.bucket, now);
            known->second.bucket.changeQuota(quota);
            this->limited.insert(before.extract(known));
        } else {
            const bool full = this->startsFull || this->configured;
            const double level = full ? quota.burst : std::min(quota.burst, this->slack * StartShareOfSlack);
            this->limited.emplace(config.name,
                                  Workspace{config.name, id, WorkspaceBucket(quota, level, now), {}, {}, 0, {}});
        }
        this->limitedById[id] = &this->limited.at(config.name);
    }
    this->configured = true;
}

void WorkspaceQuotas::setRouters(std::size_t count, std::size_t groupCount)
{
    this->routers = std::max<std::size_t>(1, count);
    this->groups = std::max<std::size_t>(1, groupCount);
}

bool WorkspaceQuotas::isActive() const
{
    return !this->limited.empty();
}

WorkspaceQuotas::Workspace *WorkspaceQuotas::find(const std::string &name)
{
    const auto it = this->limited.find(name);
    return it == this->limited.end() ? nullptr : &it->second;
}

bool WorkspaceQuotas::Sender::isSilent(TimePoint now) const
{
    return now - this->heardAt > (this->scope == Scope::Group ? DelegateSilenceLimit : SilenceLimit);
}

double WorkspaceQuotas::Sender::weightOf(const Reported &reported, TimePoint now) const
{
    return this->isSilent(now) ? 0 : FadingRate::weight(this->heardAt - reported.at);
}

double WorkspaceQuotas::lagSeconds(Scope scope)
{
    switch (scope) {
    case Scope::Group:
        return GroupLagSeconds;
    case Scope::OtherGroups:
        return OtherGroupsLagSeconds;
    default:
        return PeerLagSeconds;
    }
}

std::size_t WorkspaceQuotas::routersHeard(TimePoint now) const
{
    std::size_t heard = 1;
    for (const auto &[key, sender] : this->senders) {
        heard += sender.isSilent(now) ? 0 : sender.heard;
    }
    return std::min(heard, this->routers);
}

void WorkspaceQuotas::updateShare(TimePoint now)
{
    this->shareTime = now;
    this->share = double(this->routersHeard(now)) / double(this->routers);
    if (this->share < 1) {
        this->wholeSince = now;
        this->anyLost = this->anyLost
            || std::any_of(this->senders.begin(), this->senders.end(),
                           [now](const auto &item) { return item.second.isSilent(now); });
    } else if (now - this->wholeSince > SilenceLimit) {
        this->anyLost = false;
    }
}

void WorkspaceQuotas::advance(WorkspaceBucket &bucket, TimePoint now)
{
    if (now != this->shareTime) {
        this->updateShare(now);
    }
    bucket.advance(this->share, this->anyLost, now);
}

WorkspaceQuotas::Others WorkspaceQuotas::others(std::uint64_t workspace, TimePoint now) const
{
    Others sum;
    for (const auto &[key, sender] : this->senders) {
        const auto it = sender.usage.find(workspace);
        if (it == sender.usage.end()) {
            continue;
        }
        const double lag = lagSeconds(sender.scope);
        const double weight = sender.weightOf(it->second, now);
        const double admitted = it->second.admittedPerSecond * weight;
        const double demand = it->second.demandPerSecond * weight;
        sum.admittedPerSecond += admitted;
        sum.demandPerSecond += demand;
        sum.unseen += admitted * std::max(lag, toSeconds(now - sender.heardAt));
        sum.possible += demand * 2 * lag;
    }
    return sum;
}

QuotaDecision WorkspaceQuotas::admit(const std::string &name, std::int64_t tokens, double random, TimePoint now)
{
    QuotaDecision decision;
    Workspace *workspace = this->find(name);
    if (workspace == nullptr) {
        return decision;
    }
    WorkspaceBucket &bucket = workspace->bucket;
    this->advance(bucket, now);
    const double cost = bucket.quota().cost(tokens);
    workspace->demand.add(cost, now);
    const Others others = this->others(workspace->id, now);
    decision.cost = cost;
    decision.routersHeard = this->routersHeard(now);
    decision.routers = this->routers;
    decision.ratePerSecond = bucket.quota().ratePerSecond * this->share;
    decision.level = bucket.level() - others.unseen;
    decision.demandPerSecond = workspace->demand.at(now) + others.demandPerSecond;
    for (const auto &[key, sender] : this->senders) {
        decision.oldestReport =
            std::max(decision.oldestReport, std::chrono::duration_cast<Millis>(now - sender.heardAt));
    }
    const double rate = decision.ratePerSecond;
    const double needed = std::min(cost, bucket.capacity());
    const bool countsTokens = bucket.quota().unit == WorkspaceQuota::Unit::Tokens;
    const bool isSmall = countsTokens && cost <= SmallCostShare * bucket.capacity();
    const double beside = std::max(0.0, bucket.capacity() - needed) * MaxReserveShare;
    const double smallReserve = countsTokens ? std::min(rate * SmallReserveSeconds, beside) : 0;
    const double rest = decision.level - needed - (isSmall ? 0 : smallReserve);
    const double reserve = std::min(rate * ReserveSeconds, bucket.capacity() * MaxReserveShare);
    const double target = rate + (decision.level - reserve) / DrainSeconds;
    const double debt = rate * ThinnedDebtSeconds * others.demandPerSecond / std::max(decision.demandPerSecond, 1e-9);
    if (cost > bucket.capacity() + bucket.quota().ratePerSecond * OversizeSeconds) {
        decision.verdict = QuotaDecision::Verdict::TooLarge;
    } else if (rest >= others.possible || (isSmall && rest >= -rate * SmallDebtSeconds)) {
        decision.verdict = QuotaDecision::Verdict::Admitted;
    } else if (rest < -debt) {
        decision.verdict = QuotaDecision::Verdict::Empty;
    } else {
        decision.verdict = random * decision.demandPerSecond < target ? QuotaDecision::Verdict::Admitted
                                                                      : QuotaDecision::Verdict::Thinned;
    }
    const double taken = decision.isAdmitted() ? cost : 0;
    if (taken > 0) {
        bucket.take(taken);
        workspace->admitted.add(taken, now);
    } else if (!decision.isAdmitted()) {
        ++workspace->refused;
        decision.retryAfter = this->retryAfter(*workspace, decision, random, now);
    }
    for (const Scope scope : {Scope::Router, Scope::Group}) {
        this->counters[std::size_t(scope)][workspace->id].add(taken, cost);
    }
    return decision;
}

Millis WorkspaceQuotas::retryAfter(Workspace &workspace, const QuotaDecision &decision, double random,
                                   TimePoint now) const
{
    if (decision.verdict == QuotaDecision::Verdict::TooLarge) {
        return MaxRetryAfter;
    }
    const auto toDuration = [](double seconds) {
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    };
    // The callers that this router refuses get its part of the rate, one after another.
    const double maxSeconds = toSeconds(MaxRetryAfter);
    const double ownDemand = workspace.demand.at(now);
    const double ownShare = ownDemand / std::max(decision.demandPerSecond, ownDemand);
    const double ownRate = decision.ratePerSecond * ownShare * PromisedShare;
    const double room = std::max(0.0, (decision.cost - decision.level) / std::max(decision.ratePerSecond, 1e-9));
    const double turn = decision.cost / std::max(ownRate, 1e-9);
    // Other routers promise room from the same moment on. The first turn of each is at a random time of its interval;
    // a refusal depends on the random number itself, but not on its lower digits.
    const double phase = std::fmod(random * RandomDigits, 1) * (1 - ownShare) * turn;
    const TimePoint earliest = now + toDuration(std::min(room + phase, maxSeconds));
    const TimePoint latest = now + MaxRetryAfter;
    workspace.promisedUntil =
        std::max(earliest, std::min(latest, workspace.promisedUntil + toDuration(std::min(turn, maxSeconds))));
    return std::clamp(std::chrono::ceil<Millis>(workspace.promisedUntil - now), MinRetryAfter, MaxRetryAfter);
}

void WorkspaceQuotas::giveBack(const std::string &name, double cost, TimePoint now)
{
    Workspace *workspace = this->find(name);
    if (workspace == nullptr || cost <= 0) {
        return;
    }
    this->advance(workspace->bucket, now);
    workspace->bucket.take(-cost);
    workspace->admitted.add(-cost, now);
    for (const Scope scope : {Scope::Router, Scope::Group}) {
        this->counters[std::size_t(scope)][workspace->id].add(-cost, 0);
    }
}

std::vector<WorkspaceQuotaState> WorkspaceQuotas::states(TimePoint now)
{
    std::vector<WorkspaceQuotaState> result;
    for (auto &[name, workspace] : this->limited) {
        this->advance(workspace.bucket, now);
        const auto &counter = this->counters[std::size_t(Scope::Router)][workspace.id];
        result.push_back(WorkspaceQuotaState{name, double(counter.used), workspace.bucket.quota().ratePerSecond,
                                             workspace.bucket.level(), workspace.demand.at(now), workspace.refused});
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const auto &a, const auto &b) { return a.demandPerSecond > b.demandPerSecond; });
    return result;
}

}
