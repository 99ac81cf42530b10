#pragma once

#include "cyclamencross/base/engineload.h"
#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/settings.h"
#include "cyclamencross/base/slotask.h"
#include "cyclamencross/base/slotgrant.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

class ControlSystem;
class DatagramPort;
class Metrics;

/// Grants room on the engines that this entry owns and asks other owners for room. Its methods are thread-safe.
class GrantService
{
public:
    using ViewHook = std::function<FleetViewPtr()>;

    GrantService(const Settings &settings, ViewHook view, ControlSystem &control, DatagramPort &port, Metrics &metrics);
    /// Stops its threads and actors.
    ~GrantService();
    GrantService(const GrantService &) = delete;
    GrantService &operator=(const GrantService &) = delete;

    /// Starts load polling and the orphan sweep of owned engines.
    void start();
    /// Asks the owner of the engine and waits for its answer, at most ask.maxWait plus the owner timeouts.
    /// @return the grant, or NoCapacity if the owner refuses.
    boost::leaf::result<SlotGrant> acquire(const SlotAsk &ask);
    /// Gives the granted room back. Never blocks.
    void release(const SlotGrant &grant);
    /// Returns what is known of the load of @p engine, learned from owners' replies or own polls.
    std::optional<EngineLoad> load(const std::string &engine) const;
    /// Returns the engine that last prefilled a prompt prefix.
    /// @param prefix hash64 of the first 256 bytes of the prompt, in hexadecimal.
    std::optional<std::string> prefixHint(const std::string &prefix) const;
    /// Records that @p engine holds @p prefix in its cache.
    void notePrefix(const std::string &prefix, const std::string &engine);

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
