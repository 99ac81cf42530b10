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

/// What the request path needs from the rest of the process. Each hook is thread-safe; see FleetService and
/// GrantService for the contracts.
struct ProxyHooks
{
    std::function<FleetViewPtr()> view;
    std::function<boost::leaf::result<SlotGrant>(const SlotAsk &)> acquireSlot;
    std::function<void(const SlotGrant &)> releaseSlot;
    std::function<std::optional<EngineLoad>(const std::string &)> engineLoad;
    std::function<std::optional<std::string>(const std::string &)> prefixHint;
    std::function<void(const std::string &, const std::string &)> notePrefix;
    std::function<void(const CrashReport &)> reportCrash;
    std::function<std::vector<CrashReport>()> crashes;
    std::function<boost::leaf::result<CallRecord>(const CallRecord &)> createCallRecord;
    std::function<void(const CallRecord &)> finishCallRecord;
    std::function<void(std::uint32_t)> setLoad;
};

}
