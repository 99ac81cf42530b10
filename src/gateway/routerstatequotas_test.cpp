#include "peerreport.h"
#include "quotametrics.h"
#include "routerstate.h"

#include <algorithm>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

std::string numbered(std::string name, int number)
{
    name += std::to_string(number);
    return name;
}

// 40 routers in two groups.
struct Fleet
{
    static constexpr int Size = 40;

    boost::asio::io_context context;
    TimePoint now = TimePoint(std::chrono::hours(1));
    std::vector<std::unique_ptr<RouterState>> routers;
    std::size_t largestReport = 0;

    explicit Fleet(const std::vector<WorkspaceConfig> &workspaces)
    {
        for (int i = 0; i < Size; ++i) {
            RouterSettings settings;
            settings.name = numbered("r", i);
            settings.bootstrap = true;
            this->routers.push_back(
                std::make_unique<RouterState>(this->context.get_executor(), settings, std::uint64_t(i + 1)));
            RouterState &state = *this->routers.back();
            for (int k = 0; k < Size; ++k) {
                const std::string name = numbered("r", k);
                state.members.put(name, RouterMember{name, 1, "z", "10.0.0.1:1", "10.0.0.1:2"}, 1);
            }
            state.regroup();
            state.quotas.configure(workspaces, this->now);
        }
    }
    RouterState &find(const std::string &name)
    {
        return **std::find_if(this->routers.begin(), this->routers.end(),
                              [&name](const auto &router) { return router->settings.name == name; });
    }
    void deliver(const PeerReport &report, const std::vector<RouterMember> &receivers)
    {
        const std::string bytes = encodePeerReport(report);
        this->largestReport = std::max(this->largestReport, bytes.size());
        for (const RouterMember &member : receivers) {
            PeerReport decoded;
            REQUIRE(decodePeerReport(bytes, decoded));
            this->find(member.name).applyReport(decoded, this->now);
        }
    }
    void exchange(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            this->now += Millis(100);
            for (const auto &router : this->routers) {
                if (const auto report = router->takeGroupReport(this->now)) {
                    this->deliver(*report, router->otherDelegates());
                }
                if (const auto report = router->takeReport(this->now)) {
                    this->deliver(*report, router->groupPeers());
                }
            }
        }
    }
    bool admit(std::size_t router, const std::string &workspace)
    {
        return this->routers[router]->quotas.admit(workspace, 0, 0.5, this->now).isAdmitted();
    }
};

WorkspaceConfig limited(const std::string &name, double rate, double burst)
{
    return WorkspaceConfig{name, std::nullopt, WorkspaceQuota{WorkspaceQuota::Unit::Requests, rate, burst, 0}};
}

}

TEST_CASE("Routers of all groups learn what one of them has admitted")
{
    // Guards against a quota for each group, and against admissions that the delegates do not pass on.
    Fleet fleet({limited("w", 0.1, 100)});
    fleet.exchange(20);
    for (int i = 0; i < 90; ++i) {
        CHECK(fleet.admit(0, "w"));
    }
    fleet.exchange(10);
    for (std::size_t router = 0; router < Fleet::Size; ++router) {
        CAPTURE(router);
        const auto state = fleet.routers[router]->quotas.states(fleet.now).at(0);
        CHECK(state.level == Approx(10).margin(1.5));
        const auto decision = fleet.routers[router]->quotas.admit("w", 0, 0.5, fleet.now);
        CHECK(decision.routersHeard == Fleet::Size);
        fleet.routers[router]->quotas.giveBack("w", decision.cost, fleet.now);
    }
}

TEST_CASE("Reports about many workspaces fit into a datagram and tell all of them after a while")
{
    // Guards against reports that are lost since they are too large.
    std::vector<WorkspaceConfig> workspaces;
    for (int i = 0; i < 600; ++i) {
        workspaces.push_back(limited(numbered("w", i), 0.01, 10));
    }
    Fleet fleet(workspaces);
    fleet.exchange(20);
    for (const WorkspaceConfig &workspace : workspaces) {
        for (int i = 0; i < 9; ++i) {
            fleet.admit(3, workspace.name);
        }
    }
    fleet.exchange(20);
    CHECK(fleet.largestReport < 20000);
    for (const auto &state : fleet.routers[20]->quotas.states(fleet.now)) {
        CHECK(state.level < 2);
    }
}

TEST_CASE("Reports with impossible numbers are malformed")
{
    // Guards against a damaged datagram that stops a workspace or lets it run without a limit.
    const float rate =
        GENERATE(std::numeric_limits<float>::quiet_NaN(), std::numeric_limits<float>::infinity(), -1.0F, 3e16F);
    PeerReport report;
    PeerReport decoded;
    report.quota.usage.push_back(QuotaUsage{1, 2, 3, 4});
    REQUIRE(decodePeerReport(encodePeerReport(report), decoded));
    CHECK(decoded == report);
    report.otherGroupsQuota.usage.push_back(QuotaUsage{1, 2, rate, 0});
    CHECK_FALSE(decodePeerReport(encodePeerReport(report), decoded));
    report.otherGroupsQuota.usage = {QuotaUsage{1, 2, 0, rate}};
    CHECK_FALSE(decodePeerReport(encodePeerReport(report), decoded));
}

TEST_CASE("Without limited workspaces no report is sent because of quotas")
{
    Fleet fleet({});
    fleet.exchange(1);
    fleet.now += Millis(100);
    for (const auto &router : fleet.routers) {
        CHECK_FALSE(router->takeReport(fleet.now).has_value());
        CHECK_FALSE(router->takeGroupReport(fleet.now).has_value());
    }
}

TEST_CASE("The busiest workspaces have metrics of their own, all others share one")
{
    // Guards against metrics that grow with the number of workspaces or of those that were ever busy.
    std::vector<WorkspaceConfig> workspaces;
    for (int i = 0; i < 40; ++i) {
        workspaces.push_back(limited(numbered("w", i), 1, 100));
    }
    WorkspaceQuotas quotas(true);
    Metrics metrics;
    QuotaMetrics published;
    TimePoint now = TimePoint(std::chrono::hours(1));
    quotas.configure(workspaces, now);
    for (int busy = 0; busy < 40; ++busy) {
        for (int i = 0; i < 50; ++i) {
            quotas.admit(numbered("w", busy), 0, 0.5, now);
        }
        now += std::chrono::seconds(2);
        published.publish(quotas, metrics, now);
    }
    const std::string text = metrics.serialize();
    std::size_t lines = 0;
    for (auto at = text.find("quota_used{"); at != std::string::npos; at = text.find("quota_used{", at + 1)) {
        ++lines;
    }
    CHECK(lines == QuotaMetrics::MaxWorkspaces + 1);
    CHECK(text.find("cyclamencross_quota_used{workspace=\"w39\"} 50") != std::string::npos);
    CHECK(text.find("{workspace=\"other\"}") != std::string::npos);
}
