#pragma once

#include "cyclamencross/base/engineload.h"
#include "cyclamencross/base/slotask.h"
#include "cyclamencross/base/slotgrant.h"
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

/// The owner's account of one engine: what is granted, and who waits for room. Not thread-safe; time is passed in.
///
/// The ledger grants nothing until it has a full report() that was read after its creation, and nothing while the
/// newest report is older than StaleAfter. After such a gap only a full report() makes it grant again, since grants
/// of another owner may be on the engine by then. In both cases an ask waits at most ReportWait for the report.
class EngineLedger
{
public:
    /// What the ledger decided about one ask.
    struct Decision
    {
        SlotAsk ask;
        std::optional<SlotGrant> grant; ///< Empty: refused.
        Millis expectedWait{0};
        std::string_view reason; ///< One fixed word, for the log.
    };

    /// A grant that the engine's own report has not confirmed by then is taken back.
    static constexpr Millis UnconfirmedLifetime{5000};
    /// Age at which a report no longer permits grants.
    static constexpr Millis StaleAfter{2000};
    /// How long an ask waits for a report. A new or woken owner reads the engine within a few milliseconds; an engine
    /// that takes longer is likely to be dead, and the asker should try another one in time.
    static constexpr Millis ReportWait{100};
    /// Prefill work that may be granted ahead. Any more waits here, where priority and fairness still apply.
    static constexpr Millis PrefillAhead{100};
    /// How long the release of a request is remembered, so that a late copy of its ask is not granted.
    static constexpr Millis ReleaseMemory{5000};
    /// Reports and lists of an engine may lag behind by this much: what was released within it is not foreign.
    static constexpr Millis ReportLag{500};
    /// Bounds the memory and the time of one decide().
    static constexpr std::size_t MaxWaiting = 128;
    /// Bounds the memory against a peer that floods releases.
    static constexpr std::size_t MaxReleased = 4096;

    explicit EngineLedger(std::string engine);

    /// Takes the engine's own report; the engine is the last word on what it holds. A report older than the newest
    /// one is ignored.
    /// @param load load.known is the time at which reading began: what was granted later is not missing from @p held.
    /// @param held request ids that the engine holds.
    void report(const EngineLoad &load, const std::vector<std::string> &held, TimePoint now);
    /// Takes a load report without the list of requests.
    void reportLoad(const EngineLoad &load, TimePoint now);
    /// The engine refuses connections: nothing is granted until the next full report.
    void setUnreachable();
    /// Enters an ask. The same request id again replaces its earlier ask or repeats its grant; a copy of an ask that
    /// was released is refused.
    void ask(const SlotAsk &ask, TimePoint now);
    /// Gives room back, or withdraws an ask. Unknown and repeated releases do no harm.
    /// @param number number of the newest ask that the release covers; 0 if asks are not numbered.
    void release(const std::string &requestId, TimePoint now, std::uint64_t number = 0);
    /// Forgets the asks and unconfirmed grants of requests of a dead entry incarnation. What the engine confirmed
    /// counts until the engine itself no longer reports it.
    void forget(const std::function<bool(const std::string &requestId)> &isDead, TimePoint now);
    /// Refuses all asks from now on: the engine is leaving, or has another owner.
    void close(std::string_view reason);
    /// Returns the asks decided by now: granted in order of priority, then fairly among workspaces; refused when
    /// their wait has run out or cannot be met.
    std::vector<Decision> decide(TimePoint now);
    /// Returns the load that includes what is granted and waits. `held` is at most `slots`, and equal to it while
    /// nothing can be granted.
    EngineLoad load(TimePoint now) const;
    /// Returns when decide() must run next although nothing else happens; nothing if no one waits.
    std::optional<TimePoint> nextDeadline(TimePoint now) const;
    std::size_t waitingCount() const;
    bool isWaiting(const std::string &requestId) const;

private:
    struct Held
    {
        SlotGrant grant;
        TimePoint since;
        bool confirmed = false;
    };
    struct Release
    {
        TimePoint at;
        std::uint64_t number = 0; // newest ask known
        std::uint32_t slots = 0;
        std::uint64_t tokens = 0;
        bool byCaller = false; // false: the engine does not list it
        std::uint64_t covered = 0; // newest ask that the caller released
    };
    using HeldMap = std::map<std::string, Held>;

    bool canGrant(TimePoint now) const;
    bool takeLoad(const EngineLoad &load);
    void addHeld(const SlotGrant &grant, TimePoint now, bool confirmed);
    void adopt(const std::string &requestId, TimePoint now);
    Release &remember(const SlotGrant &grant, TimePoint now);
    HeldMap::iterator drop(HeldMap::iterator it);
    void expire(TimePoint now);
    void estimateForeign();
    Millis waitLimit(const SlotAsk &ask, TimePoint now) const;
    Clock::duration prefillTime(double tokens) const;
    Clock::duration prefillWait(TimePoint now) const;
    Clock::duration slotInterval() const;
    bool hasRoom(const SlotAsk &ask, TimePoint now) const;
    Decision refuse(const SlotAsk &ask, Clock::duration expected, std::string_view reason) const;
    void grantWaiting(TimePoint now, std::vector<Decision> &decisions);
    void refuseHopeless(TimePoint now, std::vector<Decision> &decisions);

    std::string engine;
    std::string_view closed; // reason, if closed
    EngineLoad reported;
    bool hasReport = false; // a full report since creation or since the last gap
    std::uint64_t foreignSlots = 0; // held according to the load report by requests that the ledger does not know
    std::uint64_t foreignTokens = 0;
    std::uint64_t heldSlots = 0;
    std::uint64_t heldTokens = 0;
    TimePoint prefillBusyUntil; // if the engine works off the granted tokens at its reported speed
    double meanHoldMs = 0; // of decode slots granted here; 0 until one was released
    HeldMap held;
    std::map<std::string, Release> released;
    std::deque<std::string> releaseOrder; // oldest first, to forget in time
    std::vector<Decision> answered; // answers that need no room
    FairQueue waiting;
};

}
