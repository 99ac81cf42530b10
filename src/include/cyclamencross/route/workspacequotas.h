#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/fadingrate.h"
#include "cyclamencross/route/quotadecision.h"
#include "cyclamencross/route/quotareport.h"
#include "cyclamencross/route/workspacebucket.h"
#include "cyclamencross/route/workspaceconfig.h"
#include "cyclamencross/route/workspacequotastate.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Cyclamen
{

/// Keeps the work of each workspace at all routers together within its quota, without a message for each request; see
/// docs/design/quotas.md. Each router keeps an estimate of the global bucket and learns what others have admitted from
/// reports. Not thread-safe.
class WorkspaceQuotas
{
public:
    /// Whose usage a report contains.
    enum class Scope : std::uint8_t {
        Router, ///< The sender's.
        Group, ///< That of the sender's whole group; exchanged by the delegates of the groups.
        OtherGroups, ///< That of all groups but the sender's; sent by a delegate to its group.
    };

    /// How long after its last report the usage of a router is known well enough: routers report every 0.5 s at least,
    /// so that two of their reports may be lost.
    static constexpr Millis SilenceLimit{1300};
    /// The same for reports between delegates, which are sent every 100 ms without exception.
    static constexpr Millis DelegateSilenceLimit{600};
    /// Time after which a silent sender is forgotten. Its counters begin anew with its next report: what it admitted
    /// meanwhile was withheld.
    static constexpr Millis ForgetTime{5000};
    /// Largest number of workspaces in a report, so that it fits into a datagram with everything else.
    static constexpr std::size_t MaxReported = 256;

    /// @param startsFull whether the whole system starts for the first time, so that buckets are full.
    /// @param slack how far the use in a window may exceed each quota, in its unit; see tolerantQuota().
    explicit WorkspaceQuotas(bool startsFull, double slack = 0);

    /// Returns the quota by which requests are admitted: that of the configuration, with a burst that is larger by what
    /// the slack leaves once the error of the exchange between routers has been taken off. A limit that is measured
    /// over seconds thus does not refuse the short bursts of a small workspace that it allows.
    WorkspaceQuota tolerantQuota(const WorkspaceQuota &quota) const;

    /// Applies a configuration. Workspaces that the first one contains start as the constructor says, later ones full.
    void configure(const std::vector<WorkspaceConfig> &workspaces, TimePoint now);
    /// Sets the numbers of registered routers and of groups.
    void setRouters(std::size_t count, std::size_t groups);
    /// Returns whether any workspace is limited.
    bool isActive() const;

    /// Decides on a request and takes its cost if it is admitted.
    /// @param random uniformly distributed from 0 to 1.
    QuotaDecision admit(const std::string &workspace, std::int64_t tokens, double random, TimePoint now);
    /// Gives back the cost of an admitted request that has not run.
    void giveBack(const std::string &workspace, double cost, TimePoint now);

    /// Returns the usage that is to be reported now.
    /// @param maxEntries largest number of workspaces; further ones follow in the next reports.
    QuotaReport takeReport(Scope scope, TimePoint now, std::size_t maxEntries = MaxReported);
    /// Applies the report of another router. Reports of one sender and scope must come in their order.
    void applyReport(Scope scope, const std::string &sender, std::uint64_t incarnation, const QuotaReport &report,
                     TimePoint now);
    /// Returns the states of all limited workspaces, those with the most requests first.
    std::vector<WorkspaceQuotaState> states(TimePoint now);

    /// Returns the number by which reports name a workspace. Counters in different units have different numbers.
    static std::uint64_t idOf(const WorkspaceConfig &workspace);

private:
    /// What is reported of a workspace in one scope.
    struct Counter
    {
        std::int64_t used = 0;
        std::int64_t sentUsed = 0;
        double offered = 0; ///< Cost of the requests since the last entry.
        bool changed = false; ///< Since the last entry.
        bool repeat = false; ///< The last entry is to be repeated, since it may have been lost.
        TimePoint sentAt;

        void add(double cost, double demand);
    };
    /// A limited workspace.
    struct Workspace
    {
        std::string name;
        std::uint64_t id = 0;
        WorkspaceBucket bucket;
        FadingRate admitted; ///< By this router.
        FadingRate demand; ///< At this router.
        std::int64_t refused = 0;
        TimePoint promisedUntil; ///< When the requests refused so far will have had room.
    };
    /// Rates that a sender reported.
    struct Reported
    {
        std::uint32_t used = 0;
        double admittedPerSecond = 0;
        double demandPerSecond = 0;
        TimePoint at;
    };
    struct Sender
    {
        Scope scope = Scope::Router;
        std::uint64_t incarnation = 0;
        std::uint32_t heard = 0;
        TimePoint heardAt;
        std::unordered_map<std::uint64_t, Reported> usage; ///< By workspace.

        bool isSilent(TimePoint now) const;
        /// Returns the weight of a reported rate. Rates fade with the age that they had in the last report: a sender
        /// from which nothing comes is assumed to go on until it is silent.
        double weightOf(const Reported &reported, TimePoint now) const;
    };
    /// Sums over the senders of one or all scopes.
    struct Others
    {
        double admittedPerSecond = 0;
        double demandPerSecond = 0;
        double unseen = 0; ///< What they have probably admitted since their reports.
        double possible = 0; ///< What they may be asked for until this router hears of it.
    };

    static double lagSeconds(Scope scope);
    /// Returns the number of routers whose usage is known, this one included.
    std::size_t routersHeard(TimePoint now) const;
    /// Updates `share` and `anyLost`.
    void updateShare(TimePoint now);
    void advance(WorkspaceBucket &bucket, TimePoint now);
    Others others(std::uint64_t workspace, TimePoint now) const;
    Workspace *find(const std::string &name);
    /// Returns how long a refused request should wait.
    Millis retryAfter(Workspace &workspace, const QuotaDecision &decision, double random, TimePoint now) const;
    bool isDue(const Counter &counter, std::uint64_t id, Scope scope, TimePoint now) const;
    QuotaUsage makeUsage(std::uint64_t id, const Counter &counter, Scope scope, TimePoint now) const;

    bool startsFull;
    double slack;
    bool configured = false;
    std::size_t routers = 1;
    std::size_t groups = 1;
    double share = 1; ///< Part of the registered routers whose usage is known.
    TimePoint shareTime; ///< When `share` was updated.
    bool anyLost = false; ///< A router that was heard has become silent, and not all have been heard since.
    TimePoint wholeSince; ///< Since when all routers are heard.
    std::map<std::string, Workspace> limited; ///< By name.
    std::unordered_map<std::uint64_t, Workspace *> limitedById;
    /// By scope and workspace. Kept when a limit is removed, since others compare them with earlier ones.
    std::array<std::unordered_map<std::uint64_t, Counter>, 3> counters;
    std::map<std::pair<Scope, std::string>, Sender> senders;
};

}
