#pragma once

#include "cyclamencross/route/subsetting.h"
#include "cyclamencross/route/workspacequotas.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Cyclamen
{

/// Test fixture: routers that exchange reports of workspace quotas as the gateway does, in their group and between the
/// delegates of the groups, with delays and losses.
class QuotaExchange
{
public:
    using Scope = WorkspaceQuotas::Scope;

    static constexpr Millis Tick{10};
    static constexpr Millis ReportPeriod{100};
    static constexpr double ReportLoss = 0.02;
    static constexpr std::size_t WindowTicks = 800; // 8 s
    static constexpr std::size_t EntryBytes = 20; // Of one workspace in a report.
    /// Returns a name with a number.
    static std::string numbered(std::string name, std::size_t number)
    {
        name += std::to_string(number);
        return name;
    }
    QuotaExchange(std::size_t count, std::vector<WorkspaceConfig> workspaces, bool startsFull = true)
        : workspaces(std::move(workspaces))
        , window(this->workspaces.size())
        , ideal(this->workspaces.size())
        , random(20261206)
    {
        const std::size_t groups = Subsetting::groupCount(count);
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back(numbered("r", i));
        }
        const auto groupOf = Subsetting::assignGroups(names, groups);
        for (std::size_t i = 0; i < count; ++i) {
            this->groupOf.push_back(groupOf.at(names[i]));
        }
        this->groups = groups;
        this->routers.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            this->restart(i, startsFull);
        }
        for (std::size_t i = 0; i < this->workspaces.size(); ++i) {
            this->ideal[i] = startsFull ? this->workspaces[i].quota.burst : 0;
        }
    }

    void restart(std::size_t router, bool startsFull)
    {
        this->routers[router] = std::make_unique<WorkspaceQuotas>(startsFull);
        this->routers[router]->setRouters(this->routers.size(), this->groups);
        this->routers[router]->configure(this->workspaces, this->now);
        this->incarnations.resize(this->routers.size());
        ++this->incarnations[router];
    }
    void configure(const std::vector<WorkspaceConfig> &changed)
    {
        this->workspaces = changed;
        for (const auto &router : this->routers) {
            router->configure(changed, this->now);
        }
    }
    /// Sends a request; returns whether it was admitted.
    bool request(std::size_t router, std::size_t workspace, std::int64_t tokens = 0)
    {
        const WorkspaceConfig &config = this->workspaces[workspace];
        const double cost = config.quota.cost(tokens);
        if (this->ideal[workspace] >= cost) {
            this->ideal[workspace] -= cost;
            this->idealSum += cost / config.quota.ratePerSecond;
        }
        if (this->silent.contains(router)) {
            return false;
        }
        const auto decision = this->routers[router]->admit(config.name, tokens, this->uniform(), this->now);
        if (decision.isAdmitted()) {
            this->tickUse[workspace] += cost;
            this->usedSum += cost / config.quota.ratePerSecond;
        }
        this->lastRetryAfter = decision.retryAfter;
        return decision.isAdmitted();
    }
    /// Runs for a time; `load` sends the requests of one tick.
    void run(Millis time, const std::function<void()> &load)
    {
        for (const TimePoint end = this->now + time; this->now < end; this->now += Tick) {
            this->tickUse.assign(this->workspaces.size(), 0);
            for (std::size_t i = 0; i < this->workspaces.size(); ++i) {
                const WorkspaceQuota &quota = this->workspaces[i].quota;
                this->ideal[i] = std::min(quota.burst, this->ideal[i] + quota.ratePerSecond * toSeconds(Tick));
            }
            this->exchange();
            load();
            this->measure();
        }
    }
    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }
    int poisson(double mean)
    {
        return std::poisson_distribution<int>(mean)(this->random);
    }
    std::size_t anyRouter()
    {
        return std::size_t(this->uniform() * double(this->routers.size())) % this->routers.size();
    }
    /// Sends `factor` times the rate of all workspaces to the routers that `choose` returns.
    std::function<void()> load(double factor, std::function<std::size_t()> choose)
    {
        return [this, factor, choose = std::move(choose)] {
            for (std::size_t i = 0; i < this->workspaces.size(); ++i) {
                const int count = this->poisson(this->workspaces[i].quota.ratePerSecond * factor * toSeconds(Tick));
                for (int k = 0; k < count; ++k) {
                    this->request(choose(), i);
                }
            }
        };
    }
    std::function<std::size_t()> anywhere()
    {
        return [this] { return this->anyRouter(); };
    }
    static TimePoint start()
    {
        return Start;
    }
    /// Part of what one exact bucket admits.
    double usedShare() const
    {
        return this->usedSum / this->idealSum;
    }
    double bytesPerSecond() const
    {
        return double(this->bytes) / toSeconds(this->now - Start) / double(this->routers.size());
    }
    void report(const char *what) const
    {
        if (std::getenv("QUOTA_FIGURES") == nullptr) {
            return;
        }
        std::printf("%s: routers %zu workspaces %zu worst %.3f of the allowance (%.3f without slack), used %.3f, %.0f "
                    "B/s a router\n",
                    what, this->routers.size(), this->workspaces.size(), this->worst, this->worstWithoutSlack,
                    this->usedShare(), this->bytesPerSecond());
    }

    std::vector<WorkspaceConfig> workspaces;
    std::function<bool(std::size_t, std::size_t)> isCut = [](std::size_t, std::size_t) { return false; };
    std::set<std::size_t> silent; // Killed or frozen.
    Millis lastRetryAfter{0}; ///< Of the last request that was refused.
    TimePoint now = Start;
    /// Largest use in 8 s over (rate x 8 s + burst), less the slack of half a second of the largest rate.
    double worst = 0;
    double worstWithoutSlack = 0; // The same without the slack; for small workspaces.

private:
    static constexpr TimePoint Start = TimePoint(std::chrono::hours(1));
    struct Message
    {
        std::size_t from;
        std::size_t to;
        Scope scope;
        std::uint64_t incarnation;
        QuotaReport report;
    };

    std::size_t delegate(std::size_t group) const
    {
        return std::size_t(std::find(this->groupOf.begin(), this->groupOf.end(), group) - this->groupOf.begin());
    }
    void send(std::size_t from, std::size_t to, Scope scope, const QuotaReport &report)
    {
        this->bytes += report.usage.size() * EntryBytes;
        const bool lost = this->uniform() < ReportLoss || this->silent.contains(to) || this->isCut(from, to);
        if (from != to && !lost) {
            this->messages.push_back(Message{from, to, scope, this->incarnations[from], report});
        }
    }
    void exchange()
    {
        for (const Message &message : std::exchange(this->messages, {})) {
            this->routers[message.to]->applyReport(message.scope, std::to_string(message.from), message.incarnation,
                                                   message.report, this->now);
        }
        for (std::size_t from = 0; from < this->routers.size(); ++from) {
            const auto phase = Millis(std::int64_t(from * 37 % 10) * Tick.count());
            if (this->silent.contains(from) || (this->now - Start + phase) % ReportPeriod != Clock::duration(0)) {
                continue;
            }
            const bool isDelegate = this->delegate(this->groupOf[from]) == from;
            const QuotaReport own = this->routers[from]->takeReport(Scope::Router, this->now);
            const QuotaReport others = isDelegate && this->groups > 1
                ? this->routers[from]->takeReport(Scope::OtherGroups, this->now)
                : QuotaReport();
            for (std::size_t to = 0; to < this->routers.size(); ++to) {
                if (this->groupOf[to] == this->groupOf[from] && to != from) {
                    this->send(from, to, Scope::Router, own);
                    if (isDelegate && this->groups > 1) {
                        this->send(from, to, Scope::OtherGroups, others);
                    }
                }
            }
            if (isDelegate && this->groups > 1) {
                const QuotaReport sum = this->routers[from]->takeReport(Scope::Group, this->now);
                for (std::size_t group = 0; group < this->groups; ++group) {
                    if (group != this->groupOf[from]) {
                        this->send(from, this->delegate(group), Scope::Group, sum);
                    }
                }
            }
        }
    }
    void measure()
    {
        double largestRate = 0;
        for (const WorkspaceConfig &config : this->workspaces) {
            largestRate = std::max(largestRate, config.quota.ratePerSecond);
        }
        for (std::size_t i = 0; i < this->workspaces.size(); ++i) {
            auto &[uses, sum] = this->window[i];
            uses.push_back(this->tickUse[i]);
            sum += uses.back();
            if (uses.size() > WindowTicks) {
                sum -= uses.front();
                uses.pop_front();
            }
            const WorkspaceQuota &quota = this->workspaces[i].quota;
            const double allowed = quota.ratePerSecond * 8 + quota.burst;
            this->worst = std::max(this->worst, (sum - largestRate / 2) / allowed);
            this->worstWithoutSlack = std::max(this->worstWithoutSlack, sum / allowed);
        }
    }

    std::vector<std::unique_ptr<WorkspaceQuotas>> routers;
    std::vector<std::uint64_t> incarnations;
    std::vector<std::size_t> groupOf;
    std::size_t groups = 1;
    std::vector<Message> messages;
    std::vector<std::pair<std::deque<double>, double>> window; // By workspace.
    std::vector<double> tickUse;
    std::vector<double> ideal; // Levels of exact buckets.
    double idealSum = 0;
    double usedSum = 0;
    std::uint64_t bytes = 0;
    std::mt19937_64 random;
};

}
