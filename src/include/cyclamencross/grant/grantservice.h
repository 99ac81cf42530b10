#pragma once

#include "cyclamencross/base/engineload.h"
#include "cyclamencross/base/fleetview.h"
#include "cyclamencross/base/settings.h"
#include "cyclamencross/base/slotask.h"
#include "cyclamencross/base/slotgrant.h"
#include "cyclamencross/net/datagram.h"

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
    /// Sends a datagram to a gossip address; it may be lost.
    using SendHook = std::function<void(const std::string &address, DatagramKind kind, const std::string &payload)>;

    /// Sends and receives through @p port, which must live at least as long as this object.
    GrantService(const Settings &settings, ViewHook view, ControlSystem &control, DatagramPort &port, Metrics &metrics);
    /// Sends through @p send; the caller passes what arrives to receive().
    GrantService(const Settings &settings, ViewHook view, ControlSystem &control, SendHook send, Metrics &metrics);
    /// Stops its threads and actors.
    ~GrantService();
    GrantService(const GrantService &) = delete;
    GrantService &operator=(const GrantService &) = delete;

    /// Starts load polling and the orphan sweep of owned engines.
    void start();
    /// Takes a datagram of kind SlotAsk, SlotReply or SlotRelease; others and malformed ones are dropped.
    void receive(const Datagram &datagram);
    /// Asks the owner of the engine and waits for its answer, at most ask.maxWait plus the owner timeouts.
    ///
    /// An owner that does not answer or queue the ask within 20 ms is passed over; after three owners the grant has an
    /// empty owner, and the engine itself decides. A new owner, and one without a report of the engine younger than
    /// 2 s, grants nothing until it has read the engine's load and request list; asks wait for that at most 100 ms.
    /// @return the grant, or NoCapacity if the owner refuses or the engine is leaving or unknown.
    boost::leaf::result<SlotGrant> acquire(const SlotAsk &ask);
    /// Gives the granted room back. Never blocks; repeated releases do no harm. If the datagram is lost, the owner
    /// learns of it from the engine's own list. An acquire() of the same request and engine that still waits is
    /// withdrawn and ends with NoCapacity.
    void release(const SlotGrant &grant);
    /// Returns what is known of the load of @p engine, learned from owners' replies or own polls within the last
    /// second. It includes grants and waiting asks.
    std::optional<EngineLoad> load(const std::string &engine) const;
    /// Returns the engine that last prefilled a prompt prefix.
    /// @param prefix hash64 of the first 256 bytes of the prompt, in hexadecimal.
    std::optional<std::string> prefixHint(const std::string &prefix) const;
    /// Records that @p engine holds @p prefix in its cache.
    void notePrefix(const std::string &prefix, const std::string &engine);

private:
    struct ReceiveGate;
    struct Members;
    std::unique_ptr<Members> members;
};

}
