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

/// Grants slots on the engines that this entry owns, and requests slots on other engines from their owners. "Slot"
/// stands for decode slots and for prefill tokens alike. Its methods are thread-safe.
class GrantService
{
public:
    /// Returns the current view of the fleet. Called on several threads.
    using ViewHook = std::function<FleetViewPtr()>;
    /// Sends a datagram to a gossip address; it may be lost.
    using SendHook = std::function<void(const std::string &address, DatagramKind kind, const std::string &payload)>;

    /// Sends and receives through @p port, which must live at least as long as this object.
    GrantService(const Settings &settings, ViewHook view, ControlSystem &control, DatagramPort &port, Metrics &metrics);
    /// Sends through @p send; the caller passes received datagrams to receive().
    GrantService(const Settings &settings, ViewHook view, ControlSystem &control, SendHook send, Metrics &metrics);
    /// Stops its threads and actors.
    ~GrantService();
    GrantService(const GrantService &) = delete;
    GrantService &operator=(const GrantService &) = delete;

    /// Starts polling the load of owned engines and cancelling their orphaned requests.
    void start();
    /// Handles a datagram of kind SlotAsk, SlotReply or SlotRelease; others and malformed ones are dropped.
    void receive(const Datagram &datagram);
    /// Sends a slot request to the owner of the engine and waits for the answer, at most request.maxWait plus the owner
    /// timeouts.
    ///
    /// An owner that neither answers nor queues the request within 20 ms is skipped. After three owners a grant with an
    /// empty owner is returned, and the engine itself accepts or refuses the work. An owner that is new, or has no
    /// report of the engine younger than 2 s, grants nothing until it has read the engine's load and request list; slot
    /// requests wait at most 100 ms for that.
    /// @return the grant, or NoCapacity if the owner refuses or the engine is leaving or unknown.
    boost::leaf::result<SlotGrant> acquire(const SlotAsk &request);
    /// Releases a grant. Never blocks; repeated releases are harmless. If the datagram is lost, the owner
    /// learns of the release from the engine's request list. A pending acquire() of the same request and engine is
    /// withdrawn and returns NoCapacity.
    void release(const SlotGrant &grant);
    /// Returns the load of @p engine if an owner's reply or a poll by this entry within the last second has shown it.
    /// It includes grants and waiting slot requests.
    std::optional<EngineLoad> load(const std::string &engine) const;
    /// Returns the engine that last prefilled a prompt prefix, as far as known. It may be out of date.
    /// @param prefix hash64 of the first 256 bytes of the prompt, in hexadecimal.
    std::optional<std::string> prefixHint(const std::string &prefix) const;
    /// Records that @p engine has @p prefix in its cache.
    void notePrefix(const std::string &prefix, const std::string &engine);

private:
    struct ReceiveGate;
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
