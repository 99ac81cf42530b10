// The part of WorkspaceQuotas that exchanges reports with other routers.

#include "cyclamencross/route/workspacequotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Cyclamen
{

namespace
{

// Admissions below these parts of the rate and of the level, divided by the number of senders, and a demand below a
// multiple of them are reported every RepeatPeriod only: if all routers hold back as much, the bucket is not overdrawn
// by more than a report's delay explains.
constexpr double NegligibleSeconds = 0.12;
constexpr double NegligibleLevelShare = 0.1;
constexpr double NegligibleDemandFactor = 8;
constexpr Millis RepeatPeriod{500};
// Part of the burst and of the rate of a second from which an entry is repeated, since it may have been lost. Smaller
// ones become known with the next change.
constexpr double RepeatedShare = 0.01;
// Bounds the sum of the numbers of routers heard.
constexpr std::uint32_t MaxHeard = 1'000'000;

}

void WorkspaceQuotas::Counter::add(double cost, double demand)
{
    this->used += std::llround(cost);
    this->offered += demand;
    this->changed = true;
}

bool WorkspaceQuotas::isDue(const Counter &counter, std::uint64_t id, Scope scope, TimePoint now) const
{
    const auto workspace = this->limitedById.find(id);
    if (workspace == this->limitedById.end() || (!counter.changed && !counter.repeat)) {
        return false;
    }
    const WorkspaceBucket &bucket = workspace->second->bucket;
    // All receivers lack the same part of what one delegate holds back, so that it counts once.
    const double senderCount = scope == Scope::Router ? double(this->routers)
        : scope == Scope::Group                       ? double(this->groups)
                                                      : 1;
    const double negligible =
        (bucket.quota().ratePerSecond * NegligibleSeconds + std::max(0.0, bucket.level()) * NegligibleLevelShare)
        / senderCount;
    const bool relevant = std::abs(double(counter.used - counter.sentUsed)) >= negligible
        || counter.offered >= negligible * NegligibleDemandFactor;
    return now - counter.sentAt >= RepeatPeriod || (counter.changed && relevant);
}

QuotaUsage WorkspaceQuotas::makeUsage(std::uint64_t id, const Counter &counter, Scope scope, TimePoint now) const
{
    QuotaUsage usage{id, std::uint32_t(counter.used), 0, 0};
    double admitted = 0;
    double demand = 0;
    if (scope != Scope::OtherGroups) {
        const Workspace &workspace = *this->limitedById.at(id);
        admitted += workspace.admitted.at(now);
        demand += workspace.demand.at(now);
    }
    if (scope != Scope::Router) {
        const Scope source = scope == Scope::Group ? Scope::Router : Scope::Group;
        for (const auto &[key, sender] : this->senders) {
            const auto it = sender.usage.find(id);
            if (sender.scope == source && it != sender.usage.end()) {
                const double weight = sender.weightOf(it->second, now);
                admitted += it->second.admittedPerSecond * weight;
                demand += it->second.demandPerSecond * weight;
            }
        }
    }
    // A receiver that does not know the earlier counter reads what was not reported yet from the rate.
    admitted = std::max(admitted, double(counter.used - counter.sentUsed) / FadingRate::FadingSeconds);
    usage.admittedPerSecond = float(admitted);
    usage.demandPerSecond = float(demand);
    return usage;
}

QuotaReport WorkspaceQuotas::takeReport(Scope scope, TimePoint now, std::size_t maxEntries)
{
    QuotaReport report;
    this->updateShare(now);
    std::erase_if(this->senders, [now](const auto &item) { return now - item.second.heardAt > ForgetTime; });
    if (!this->isActive()) {
        return report;
    }
    report.heard = scope == Scope::OtherGroups ? 0 : 1;
    for (const auto &[key, sender] : this->senders) {
        const bool counts = (scope == Scope::Group && sender.scope == Scope::Router)
            || (scope == Scope::OtherGroups && sender.scope == Scope::Group);
        report.heard += counts && !sender.isSilent(now) ? sender.heard : 0;
    }
    std::vector<std::pair<std::uint64_t, Counter *>> due;
    for (auto &[id, counter] : this->counters[std::size_t(scope)]) {
        if (this->isDue(counter, id, scope, now)) {
            due.emplace_back(id, &counter);
        }
    }
    std::sort(due.begin(), due.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second->sentAt, a.first) < std::pair(b.second->sentAt, b.first);
    });
    due.resize(std::min(due.size(), maxEntries));
    for (const auto &[id, counter] : due) {
        report.usage.push_back(this->makeUsage(id, *counter, scope, now));
        const WorkspaceQuota &quota = this->limitedById.at(id)->bucket.quota();
        const double sent = std::abs(double(counter->used - counter->sentUsed));
        counter->repeat =
            std::exchange(counter->changed, false) && sent >= RepeatedShare * (quota.burst + quota.ratePerSecond);
        counter->offered = 0;
        counter->sentUsed = counter->used;
        counter->sentAt = now;
    }
    return report;
}

void WorkspaceQuotas::applyReport(Scope scope, const std::string &senderName, std::uint64_t incarnation,
                                  const QuotaReport &report, TimePoint now)
{
    const bool tellsNothing =
        scope == Scope::OtherGroups && report.heard == 0 && !this->senders.contains({scope, senderName});
    if (!this->isActive() || tellsNothing) {
        return; // Only delegates know other groups.
    }
    if (scope == Scope::OtherGroups) {
        // A new delegate reports what the former one did; both together would count twice.
        std::erase_if(this->senders, [&senderName](const auto &item) {
            return item.first.first == Scope::OtherGroups && item.first.second != senderName;
        });
    }
    Sender &sender = this->senders[{scope, senderName}];
    const bool isFirst = sender.incarnation != incarnation || now - sender.heardAt > ForgetTime;
    if (isFirst) {
        sender = Sender{scope, incarnation, 0, now, {}};
    }
    const std::uint32_t heard = scope == Scope::Router ? 1 : std::min<std::uint32_t>(report.heard, MaxHeard);
    const bool isReunited = sender.isSilent(now) || heard > sender.heard;
    sender.heard = heard;
    sender.heardAt = now;
    this->updateShare(now);
    for (const QuotaUsage &entry : report.usage) {
        const auto workspace = this->limitedById.find(entry.workspace);
        if (workspace == this->limitedById.end()) {
            continue;
        }
        const auto [it, isNew] = sender.usage.try_emplace(entry.workspace);
        // The first report of a sender is the base of its counters: what it contains was withheld, or is known from
        // the former delegate. Of a workspace that is reported later for the first time, the last moments count.
        const double lately = isFirst ? 0 : entry.admittedPerSecond * FadingRate::FadingSeconds;
        const double increase = isNew ? lately : double(std::int32_t(entry.used - it->second.used));
        it->second = Reported{entry.used, entry.admittedPerSecond, entry.demandPerSecond, now};
        this->advance(workspace->second->bucket, now);
        if (isReunited) {
            workspace->second->bucket.takeForReunited(increase);
        } else {
            workspace->second->bucket.take(increase);
        }
        if (scope != Scope::OtherGroups) {
            const Scope sum = scope == Scope::Router ? Scope::Group : Scope::OtherGroups;
            this->counters[std::size_t(sum)][entry.workspace].add(increase, entry.demandPerSecond > 0 ? increase : 0);
        }
    }
}

}
