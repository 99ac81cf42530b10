#include "cyclamencross/fleet/fleetservice.h"

#include "callrecords.h"
#include "configfetch.h"
#include "configstore.h"
#include "configsync.h"
#include "configwatch.h"
#include "fleetstate.h"
#include "hostlistpoll.h"
#include "keyvaluehttp.h"

#include "cyclamencross/base/controlsystem.h"
#include "cyclamencross/base/failures.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"
#include "cyclamencross/fleet/configtext.h"
#include "cyclamencross/net/datagramport.h"

#include <atomic>
#include <mutex>

#include <boost/leaf/handle_errors.hpp>
#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>

namespace Cyclamen
{

namespace
{

// Messages to the fleet actor.
struct FleetTick
{
};
struct HostListRead
{
    HostList list;
};
struct ConfigAccepted
{
    std::shared_ptr<const FleetConfig> config;
};
struct DrainOrder
{
};
struct LeaveOrder
{
};
struct CrashSeen
{
    CrashReport report;
};
struct LiftOrder
{
    std::uint64_t fingerprint = 0;
};

// Bounds the wait of a traffic thread for the control thread.
constexpr Millis OrderTimeout{500};

}

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::FleetTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::HostListRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::ConfigAccepted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::DrainOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::LeaveOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::CrashSeen)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::LiftOrder)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::Datagram)

namespace Cyclamen
{

namespace
{

Member makeSelf(const Settings &settings, std::uint64_t incarnation, const std::string &gossipAddress)
{
    Member self;
    self.name = settings.name;
    self.incarnation = incarnation;
    self.callerAddress = settings.callerAddress;
    self.adminAddress = settings.adminAddress;
    self.gossipAddress = gossipAddress;
    self.zone = settings.zone;
    self.region = settings.region;
    return self;
}

// Wraps FleetState in an actor, so that it is used on the control thread only.
caf::behavior fleetActor(caf::event_based_actor *self, std::shared_ptr<FleetState> state, Millis tickPeriod,
                         std::shared_ptr<std::atomic<std::uint32_t>> load, Metrics *metrics)
{
    return {
        [=](const FleetTick &) {
            self->delayed_send(self, tickPeriod, FleetTick{});
            state->tick(Clock::now(), unixSeconds(), load->load());
        },
        [=](const Datagram &datagram) {
            if (!state->receive(datagram, Clock::now(), unixSeconds())) {
                metrics->count("cyclamencross_datagrams_dropped_total", {{"reason", "malformed-payload"}});
            }
        },
        [=](const HostListRead &message) { state->takeHostList(message.list, Clock::now()); },
        [=](const ConfigAccepted &message) { state->takeConfig(message.config, Clock::now()); },
        [=](const DrainOrder &) {
            state->drain(Clock::now());
            return true;
        },
        [=](const LeaveOrder &) {
            state->leave(Clock::now());
            return true;
        },
        [=](const CrashSeen &message) {
            state->reportCrash(message.report, unixSeconds());
            return true;
        },
        [=](const LiftOrder &message) {
            state->liftCrash(message.fingerprint, unixSeconds());
            return true;
        },
    };
}

}

struct FleetService::Members
{
    Members(const Settings &settings, ControlSystem &control, DatagramPort &port, Metrics &metrics)
        : settings(settings)
        , control(control)
        , port(port)
        , metrics(metrics)
        , http(settings)
        , client([this](const std::string &path, const std::string &body) { return this->http.call(path, body); },
                 metrics)
        , store([this](auto config) {
            if (this->actor) {
                caf::anon_send(this->actor, ConfigAccepted{std::move(config)});
            }
        })
        , sync(store, client)
        , records(client)
        , fetch(settings, store)
        , watch(settings, sync, metrics)
    {
    }

    FleetState::Hooks stateHooks();
    // Sends an order and waits until the control thread has carried it out, so that its effect is visible to the
    // caller's next step.
    template<typename Order>
    void carryOut(Order order)
    {
        caf::scoped_actor waiter{this->control.actors()};
        waiter->request(this->actor, OrderTimeout, std::move(order))
            .receive([](bool) {}, [](const caf::error &) { LogLine("control-thread-late").warn(); });
    }

    Settings settings;
    ControlSystem &control;
    DatagramPort &port;
    Metrics &metrics;
    mutable std::mutex mutex;
    FleetViewPtr view;
    std::vector<CrashReport> crashes;
    std::shared_ptr<std::atomic<std::uint32_t>> load = std::make_shared<std::atomic<std::uint32_t>>(0);
    caf::actor actor;
    KeyValueHttp http;
    KeyValueClient client;
    ConfigStore store;
    ConfigSync sync;
    CallRecords records;
    // These have threads of their own and are destroyed first.
    ConfigFetch fetch;
    ConfigWatch watch;
    std::unique_ptr<HostListPoll> hostListPoll;
};

FleetState::Hooks FleetService::Members::stateHooks()
{
    FleetState::Hooks hooks;
    hooks.send = [this](const std::string &address, DatagramKind kind, const std::string &payload) {
        this->port.send(address, kind, payload);
    };
    hooks.publish = [this](FleetViewPtr next) {
        this->metrics.set("cyclamencross_fleet_members", static_cast<double>(next->members.size()));
        this->metrics.set("cyclamencross_fleet_config_revision", static_cast<double>(next->config->revision));
        this->metrics.set("cyclamencross_fleet_isolated", next->isolated ? 1 : 0);
        const std::scoped_lock lock(this->mutex);
        this->view.swap(next);
    };
    hooks.publishCrashes = [this](std::vector<CrashReport> inForce) {
        const std::scoped_lock lock(this->mutex);
        this->crashes.swap(inForce);
    };
    hooks.fetchConfig = [this](const std::string &adminAddress, std::uint64_t revision) {
        this->fetch.order(adminAddress, revision);
    };
    hooks.watchRank = [this](std::optional<std::size_t> rank) { this->watch.setRank(rank); };
    return hooks;
}

FleetService::FleetService(const Settings &settings, std::uint64_t incarnation, ControlSystem &control,
                           DatagramPort &port, Metrics &metrics)
    : members(std::make_unique<Members>(settings, control, port, metrics))
{
    const Member self = makeSelf(settings, incarnation, port.address());
    auto state = std::make_shared<FleetState>(settings, self, this->members->stateHooks(), Clock::now());
    // Fine enough to notice a missed probe soon after its timeout.
    const Millis tickPeriod = std::max(Millis(10), settings.probeTimeout / 2);
    this->members->actor =
        control.actors().spawn(fleetActor, std::move(state), tickPeriod, this->members->load, &metrics);
    for (const DatagramKind kind : {DatagramKind::Ping, DatagramKind::PingRequest, DatagramKind::Ack}) {
        // The actor handle stays valid after the actor has ended; the port may outlive this object.
        port.receive(kind,
                     [actor = this->members->actor](const Datagram &datagram) { caf::anon_send(actor, datagram); });
    }
}

FleetService::~FleetService()
{
    this->members->hostListPoll.reset();
    caf::scoped_actor waiter{this->members->control.actors()};
    caf::anon_send_exit(this->members->actor, caf::exit_reason::user_shutdown);
    waiter->wait_for(this->members->actor);
}

void FleetService::start()
{
    caf::anon_send(this->members->actor, FleetTick{});
    this->members->watch.start();
    this->members->hostListPoll = std::make_unique<HostListPoll>(this->members->settings, [this](const HostList &list) {
        caf::anon_send(this->members->actor, HostListRead{list});
    });
}

FleetViewPtr FleetService::view() const
{
    const std::scoped_lock lock(this->members->mutex);
    return this->members->view;
}

void FleetService::beginDrain()
{
    this->members->carryOut(DrainOrder{});
}

void FleetService::leave()
{
    this->members->carryOut(LeaveOrder{});
}

void FleetService::setLoad(std::uint32_t requests)
{
    // Read by the next tick: requests begin and end far more often than load is gossiped.
    this->members->load->store(requests);
}

void FleetService::reportCrash(const CrashReport &report)
{
    this->members->carryOut(CrashSeen{report});
}

std::vector<CrashReport> FleetService::crashes() const
{
    const std::scoped_lock lock(this->members->mutex);
    return this->members->crashes;
}

void FleetService::liftCrash(std::uint64_t fingerprint)
{
    this->members->carryOut(LiftOrder{fingerprint});
}

boost::leaf::result<CallRecord> FleetService::createCallRecord(const CallRecord &wanted)
{
    return this->members->records.create(wanted, Clock::now());
}

void FleetService::finishCallRecord(const CallRecord &record)
{
    const auto failed = [&record](const std::string &detail) {
        LogLine("call-record-not-finished").add("attempt", record.attempt).add("detail", detail).warn();
    };
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(finished, this->members->records.finish(record));
            if (!finished) {
                failed("another attempt owns the record, or it has expired");
            }
            return {};
        },
        [&](const KeyValueUnavailable &failure) { failed(failure.detail); }, [&] { failed("unknown"); });
}

std::string FleetService::configText() const
{
    return formatConfig(*this->members->store.current());
}

boost::leaf::result<std::uint64_t> FleetService::applyConfig(const std::string &text, std::uint64_t baseRevision,
                                                             const std::string &changeId, const std::string &author)
{
    return this->members->sync.apply(text, baseRevision, changeId, author);
}

boost::leaf::result<std::vector<std::string>> FleetService::configHistory()
{
    return this->members->sync.history();
}

}
