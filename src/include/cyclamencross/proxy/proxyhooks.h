#pragma once

#include "cyclamencross/base/callrecord.h"
#include "cyclamencross/base/crashreport.h"
#include "cyclamencross/base/engineload.h"
#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/slotask.h"
#include "cyclamencross/base/slotgrant.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Callbacks through which the request path uses the rest of the process. Each one must be thread-safe; FleetService
/// and GrantService document the contracts.
struct ProxyHooks
{
    std::function<FleetViewPtr()> view; ///< Returns the current fleet snapshot; never null.
    /// Reserves capacity on an engine; waits at most SlotAsk::maxWait plus the owner timeouts. Fails with NoCapacity if
    /// the owner refuses.
    std::function<boost::leaf::result<SlotGrant>(const SlotAsk &)> acquireSlot;
    /// Releases a grant, and withdraws a pending acquireSlot() for the same request and engine. Never blocks.
    std::function<void(const SlotGrant &)> releaseSlot;
    /// Returns the known load of the engine at an address; nothing if there is no recent one.
    std::function<std::optional<EngineLoad>(const std::string &)> engineLoad;
    /// Returns the address of the engine that last prefilled a prompt prefix.
    std::function<std::optional<std::string>(const std::string &)> prefixHint;
    /// Records that a prompt prefix (first argument) is in the cache of a prefill engine (second argument).
    std::function<void(const std::string &, const std::string &)> notePrefix;
    std::function<void(const CrashReport &)> reportCrash;
    std::function<std::vector<CrashReport>()> crashes; ///< Returns the crash reports in force in the fleet.
    /// Creates the durable record of a call, or returns the record that already exists under its key.
    std::function<boost::leaf::result<CallRecord>(const CallRecord &)> createCallRecord;
    std::function<void(const CallRecord &)> finishCallRecord;
    std::function<void(std::uint32_t)> setLoad; ///< Publishes the number of requests in progress.
};

}
