#pragma once

#include "cyclamencross/base/engineload.h"
#include "cyclamencross/base/slotgrant.h"
#include "cyclamencross/base/slotrequest.h"
#include "cyclamencross/decide/fairqueue.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// Schedules the decode slots and the prefill work of one engine on behalf of its owner: tracks what is granted and
/// queues the slot requests that wait for capacity. Not thread-safe; time is passed in.
///
/// Nothing is granted before applyReport() has received a full report that was read after construction, or while the
/// newest report is older than MaxReportAge. After such a gap only another full report resumes granting, because
/// another owner may have granted slots on the engine in the meantime. In both cases a slot request waits at most
/// MaxReportWait for the report, and at most MaxUnreachableWait if the engine refuses connections.
class EngineScheduler
{
public:
    /// Decision on one slot request.
    struct Decision
    {
        SlotRequest request;
        std::optional<SlotGrant> grant; ///< Empty: refused.
        Millis expectedWait{0};
        std::string_view reason; ///< Identifier for logs and metrics, for example "queue-full".
    };

    /// A grant that no report of the engine has confirmed within this time is revoked.
    static constexpr Millis UnconfirmedGrantLifetime{5000};
    /// Reasons of refusals by engines that are out of use; owners send them to the entries that requested a slot.
    static constexpr std::string_view NoFreshReportReason = "no-fresh-report";
    static constexpr std::string_view LeavingReason = "leaving";
    /// Age above which a report no longer permits grants.
    static constexpr Millis MaxReportAge{2000};
    /// How long a slot request waits for a report. An owner that is new or resumes after a pause reads the engine
    /// within a few milliseconds. An engine that takes longer is probably dead, and the requester needs time to try
    /// another.
    static constexpr Millis MaxReportWait{100};
    /// How long a slot request waits for a report of an engine that refuses connections. Requesters try one engine
    /// after the other, so that longer waits at several dead ones would use up the time of a request.
    static constexpr Millis MaxUnreachableWait{20};
    /// Prefill work that may be granted in advance. Further requests wait in the queue here, where priority and
    /// fairness still apply.
    static constexpr Millis MaxPrefillAhead{100};
    /// How long a release is remembered, so that a late duplicate of its slot request is not granted.
    static constexpr Millis ReleaseRetention{5000};
    /// Maximum lag of the engine's reports and request lists. A request that was released within this time may still be
    /// listed and does not count as untracked.
    static constexpr Millis MaxReportLag{500};
    /// Maximum number of waiting requests; bounds the memory and the run time of decide().
    static constexpr std::size_t MaxWaiting = 128;
    /// Maximum number of remembered releases; bounds the memory if a peer floods this entry with releases.
    static constexpr std::size_t MaxReleased = 4096;

    explicit EngineScheduler(std::string engine);

    /// Applies a full report of the engine, which is authoritative for the requests that the engine holds. A report
    /// older than the newest one is ignored.
    /// @param load load.updatedAt is the time at which reading began; grants made later need not be in @p heldIds.
    /// @param heldIds ids of the requests that the engine holds.
    void applyReport(const EngineLoad &load, const std::vector<std::string> &heldIds, TimePoint now);
    /// Applies a load report without the list of requests.
    void applyLoad(const EngineLoad &load, TimePoint now);
    /// Records that the engine refuses connections: nothing is granted until the next full report.
    void setUnreachable();
    /// Submits a slot request. One with the id of a waiting request replaces it, and one with the id of a granted
    /// request gets the same grant again. A late duplicate of a released request is refused.
    void submit(const SlotRequest &request, TimePoint now);
    /// Returns granted capacity, or withdraws a waiting slot request. Unknown and repeated releases are harmless.
    /// @param sequenceNumber sequence number of the newest slot request that the release covers; 0 if they are not
    /// numbered.
    void release(const std::string &requestId, TimePoint now, std::uint64_t sequenceNumber = 0);
    /// Drops the waiting requests and unconfirmed grants of dead entry incarnations. A grant that the engine has
    /// confirmed counts until the engine no longer reports it.
    void dropDead(const std::function<bool(const std::string &requestId)> &isDead, TimePoint now);
    /// Refuses all slot requests from now on, because the engine is leaving or has another owner.
    /// @param reason reported in the decisions; must outlive the scheduler.
    void close(std::string_view reason);
    /// Returns the decisions that can be made at @p now. Requests are granted by priority, then fairly among
    /// workspaces. They are refused when their maximum wait is over or cannot be met.
    std::vector<Decision> decide(TimePoint now);
    /// Returns the engine's load including granted and waiting requests. `usedSlots` is at most `slots`, and equal to
    /// it while nothing can be granted.
    EngineLoad load(TimePoint now) const;
    /// Returns when decide() must run next if no other event occurs; nothing if no request waits.
    std::optional<TimePoint> nextDeadline(TimePoint now) const;
    std::size_t waitingCount() const;
    bool isWaiting(const std::string &requestId) const;

private:
    struct ActiveGrant
    {
        SlotGrant grant;
        TimePoint grantedAt;
        bool confirmed = false;
    };
    struct Release
    {
        TimePoint releasedAt;
        std::uint64_t sequenceNumber = 0; // newest slot request known
        std::uint32_t slots = 0;
        std::uint64_t tokens = 0;
        bool byCaller = false; // by release(); false: expired, or no longer listed by the engine
        std::uint64_t coveredNumber = 0; // newest slot request that a call of release() covered
    };
    using GrantMap = std::map<std::string, ActiveGrant>;

    bool canGrant(TimePoint now) const;
    bool acceptLoad(const EngineLoad &load);
    void addGrant(const SlotGrant &grant, TimePoint now, bool confirmed);
    void addReportedRequest(const std::string &requestId, TimePoint now);
    Release &recordRelease(const SlotGrant &grant, TimePoint now);
    GrantMap::iterator removeGrant(GrantMap::iterator it);
    void expire(TimePoint now);
    void estimateUntracked();
    Millis waitLimit(const SlotRequest &request, TimePoint now) const;
    Clock::duration prefillTime(double tokens) const;
    Clock::duration prefillWait(TimePoint now) const;
    Clock::duration slotInterval() const;
    bool hasCapacity(const SlotRequest &request, TimePoint now) const;
    Decision refuse(const SlotRequest &request, Clock::duration expected, std::string_view reason) const;
    void grantWaiting(TimePoint now, std::vector<Decision> &decisions);
    void refuseUnsatisfiable(TimePoint now, std::vector<Decision> &decisions);

    std::string engine;
    std::string_view closeReason; // empty unless closed
    EngineLoad reported;
    bool hasFullReport = false; // since construction or the last gap
    bool isUnreachable = false; // since the newest full report
    std::uint64_t untrackedSlots = 0; // in use according to the load report, but by no known request
    std::uint64_t untrackedTokens = 0;
    std::uint64_t trackedSlots = 0;
    std::uint64_t trackedTokens = 0;
    TimePoint prefillBusyUntil; // assuming that the engine processes the granted tokens at its reported speed
    double meanHoldMs = 0; // mean time between grant and release of decode slots; 0 until one was released
    GrantMap activeGrants;
    std::map<std::string, Release> released;
    std::deque<std::string> releaseOrder; // oldest first, for expiry
    std::vector<Decision> readyDecisions; // made outside decide(), which returns them
    FairQueue waiting;
};

}
