#pragma once

#include "proxycore.h"

#include "cyclamencross/base/slotgrant.h"
#include "cyclamencross/base/slotrequest.h"

#include <optional>
#include <string>

namespace Cyclamen
{

/// Capacity that one attempt of a request holds on one engine. The destructor first cancels work on the engine that may
/// not be finished, and then releases the capacity.
class EngineReservation
{
public:
    /// @param requestId id of the attempt, under which the engine knows the request.
    /// @param suspect whether the request has crashed a backend server, so that it must not share the engine with
    /// another suspect request; see CrashGuard.
    EngineReservation(ProxyCore &core, std::string requestId, bool suspect);
    ~EngineReservation();
    EngineReservation(const EngineReservation &) = delete;
    EngineReservation &operator=(const EngineReservation &) = delete;

    /// Requests capacity from the owner of the engine; waits at most @p slotRequest.maxWait, or until @p cancel is
    /// raised.
    /// @return whether the capacity was granted.
    bool acquire(const SlotRequest &slotRequest, CancelSignal &cancel);
    const std::string &engine() const;
    /// Returns the grant; valid only after a successful acquire() and until releaseGrant().
    const SlotGrant &grant() const;
    /// Returns the wait that the owner expects, if it refused the request; otherwise 0.
    Millis ownerExpectedWait() const;
    /// Returns whether the request was refused because the engine is out of use; the refusal then says nothing about
    /// the load of the pool.
    bool isEngineOut() const;

    /// Must be called right before a request is sent to the engine; from then on the destructor cancels it.
    void markSent();
    /// Must be called when the engine holds nothing of the request any more; the destructor then sends no cancel.
    void markFinished();
    /// Releases the capacity before the destructor does; work on the engine is not affected.
    void releaseGrant();

private:
    ProxyCore &core;
    std::string requestId;
    bool suspect;
    bool reserved = false;
    bool mayBeAtEngine = false;
    std::optional<SlotGrant> granted;
    std::string engineAddress;
    Millis expectedWait{0};
    bool engineOut = false;
};

}
