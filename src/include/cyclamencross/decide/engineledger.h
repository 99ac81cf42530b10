#pragma once

#include "cyclamencross/base/engineload.h"
#include "cyclamencross/base/slotask.h"
#include "cyclamencross/base/slotgrant.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The owner's account of one engine: what is granted, and who waits for room. Not thread-safe; time is passed in.
class EngineLedger
{
public:
    /// What the ledger decided about one ask.
    struct Decision
    {
        SlotAsk ask;
        std::optional<SlotGrant> grant; ///< Empty: refused.
        Millis expectedWait{0};
    };

    /// A grant that the engine's own report has not confirmed by then is taken back.
    static constexpr Millis UnconfirmedLifetime{5000};

    explicit EngineLedger(std::string engine);

    /// Takes the engine's own report; the engine is the last word on what it holds.
    /// @param held request ids that the engine holds.
    void report(const EngineLoad &load, const std::vector<std::string> &held, TimePoint now);
    /// Enters an ask. The same request id again replaces its earlier ask or repeats its grant.
    void ask(const SlotAsk &ask, TimePoint now);
    /// Gives room back, or withdraws an ask.
    void release(const std::string &requestId, TimePoint now);
    /// Forgets what requests of a dead entry incarnation hold.
    void forget(const std::function<bool(const std::string &requestId)> &isDead, TimePoint now);
    /// Returns the asks decided by now: granted in order of priority, then fairly among workspaces; refused when
    /// their wait has run out or cannot be met.
    std::vector<Decision> decide(TimePoint now);
    /// Returns the load that includes what is granted.
    EngineLoad load(TimePoint now) const;

private:
    struct Held
    {
        SlotGrant grant;
        TimePoint since;
        bool confirmed = false;
    };
    struct Waiting
    {
        SlotAsk ask;
        TimePoint since;
    };
    std::string engine;
    EngineLoad reported;
    std::map<std::string, Held> held;
    std::vector<Waiting> waiting;
    std::map<std::string, std::uint64_t> servedByWorkspace;
};

}
