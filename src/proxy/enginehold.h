#pragma once

#include "proxycore.h"

#include "cyclamencross/base/slotask.h"
#include "cyclamencross/base/slotgrant.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// What one attempt of a request holds on one engine. On destruction, work that is not known to be finished is
/// cancelled on the engine, and then its room is given back.
class EngineHold
{
public:
    /// @param suspect whether the request has one crash, so that no other such request may run on the engine.
    EngineHold(ProxyCore &core, std::string requestId, bool suspect);
    ~EngineHold();
    EngineHold(const EngineHold &) = delete;
    EngineHold &operator=(const EngineHold &) = delete;

    /// Asks for room, at most @p ask.maxWait; ends early when @p cancel is raised.
    /// @return whether it was granted.
    bool acquire(const SlotAsk &ask, CancelSignal &cancel);
    const std::string &engine() const;
    /// Returns the granted room.
    const SlotGrant &grant() const;
    /// Returns the wait that the owner expects, if it refused.
    Millis refusedWait() const;

    /// A request is about to leave for the engine.
    void sent();
    /// The engine holds nothing more of the request.
    void finished();
    /// Gives the room back early.
    void releaseRoom();

private:
    ProxyCore &core;
    std::string requestId;
    bool suspect;
    bool reserved = false;
    bool atEngine = false;
    std::optional<SlotGrant> granted;
    std::string engineAddress;
    Millis expectedWait{0};
};

}
