#include "cyclamencross/fleet/fleetservice.h"

#include "callrecords.h"
#include "configfetcher.h"
#include "configstore.h"
#include "configsync.h"
#include "configwatcher.h"
#include "fleetstate.h"
#include "hostlistpoller.h"
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
struct HostListUpdate
{
    HostList list;
};
struct ConfigUpdate
{
    std::shared_ptr<const FleetConfig> config;
};
struct DrainCommand
{
};
struct LeaveCommand
{
};
struct ReportCrashCommand
{
    CrashReport report;
};
struct LiftCrashCommand
{
    std::uint64_t fingerprint = 0;
};

// Maximum time that a thread that serves requests waits for the control thread.
constexpr Millis CommandTimeout{500};

}

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::FleetTick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::HostListUpdate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::ConfigUpdate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::DrainCommand)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::LeaveCommand)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::ReportCrashCommand)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::LiftCrashCommand)
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

// Wraps FleetState in an actor, which confines it to the control thread.
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
        [=](const HostListUpdate &message) { state->updateHostList(message.list, Clock::now()); },
        [=](const ConfigUpdate &message) { state->updateConfig(message.config, Clock::now()); },
        [=](const DrainCommand &) {
            state->drain(Clock::now());
            return true;
        },
        [=](const LeaveCommand &) {
            state->leave(Clock::now());
            return true;
        },
        [=](const ReportCrashCommand &message) {
            state->reportCrash(message.report, unixSeconds());
            return true;
        },
        [=](const LiftCrashCommand &message) {
            state->liftCrash(message.fingerprint, unixSeconds());
            return true;
        },
    };
}

}

struct FleetService::Impl
{
    Impl(const Settings &settings, ControlSystem &control, DatagramPort &port, Metrics &metrics)
        : settings(settings)
        , control(control)
        , port(port)
        , metrics(metrics)
        , http(settings)
        , client([this](const std::string &path, const std::string &body) { return this->http.call(path, body); },
                 metrics)
        , store([this](auto config) {
            if (this->actor) {
                caf::anon_send(this->actor, ConfigUpdate{std::move(config)});
            }
        })
        , sync(store, client)
        , callRecords(client)
        , configFetcher(settings, store)
        , configWatcher(settings, sync, metrics)
    {
    }

    FleetState::Hooks stateHooks();
    // Sends a command to the actor and waits until it was executed, so that the caller sees its effect. Gives up with a
    // log line after CommandTimeout.
    template<typename Command>
    void runOnControlThread(Command command)
    {
        caf::scoped_actor blockingActor{this->control.actors()};
        blockingActor->request(this->actor, CommandTimeout, std::move(command))
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
    CallRecords callRecords;
    // Declared last so that they are destroyed first, since their threads use the members above.
    ConfigFetcher configFetcher;
    ConfigWatcher configWatcher;
    std::unique_ptr<HostListPoller> hostListPoller;
};

FleetState::Hooks FleetService::Impl::stateHooks()
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
        this->configFetcher.request(adminAddress, revision);
    };
    hooks.setWatchRank = [this](std::optional<std::size_t> rank) { this->configWatcher.setRank(rank); };
    return hooks;
}

FleetService::FleetService(const Settings &settings, std::uint64_t incarnation, ControlSystem &control,
                           DatagramPort &port, Metrics &metrics)
    : impl(std::make_unique<Impl>(settings, control, port, metrics))
{
    const Member self = makeSelf(settings, incarnation, port.address());
    auto state = std::make_shared<FleetState>(settings, self, this->impl->stateHooks(), Clock::now());
    // Short enough to detect an unanswered probe soon after its timeout.
    const Millis tickPeriod = std::max(Millis(10), settings.probeTimeout / 2);
    this->impl->actor = control.actors().spawn(fleetActor, std::move(state), tickPeriod, this->impl->load, &metrics);
    for (const DatagramKind kind : {DatagramKind::Ping, DatagramKind::PingRequest, DatagramKind::Ack}) {
        // Captures the actor handle, which stays valid after the actor ends, because the port may outlive this object.
        port.receive(kind, [actor = this->impl->actor](const Datagram &datagram) { caf::anon_send(actor, datagram); });
    }
}

FleetService::~FleetService()
{
    this->impl->hostListPoller.reset();
    caf::scoped_actor blockingActor{this->impl->control.actors()};
    caf::anon_send_exit(this->impl->actor, caf::exit_reason::user_shutdown);
    blockingActor->wait_for(this->impl->actor);
}

void FleetService::start()
{
    caf::anon_send(this->impl->actor, FleetTick{});
    this->impl->configWatcher.start();
    this->impl->hostListPoller = std::make_unique<HostListPoller>(this->impl->settings, [this](const HostList &list) {
        caf::anon_send(this->impl->actor, HostListUpdate{list});
    });
}

FleetViewPtr FleetService::view() const
{
    const std::scoped_lock lock(this->impl->mutex);
    return this->impl->view;
}

void FleetService::beginDrain()
{
    this->impl->runOnControlThread(DrainCommand{});
}

void FleetService::leave()
{
    this->impl->runOnControlThread(LeaveCommand{});
}

void FleetService::setLoad(std::uint32_t requests)
{
    // Only stored here and read by the next tick, since requests start and end far more often than gossip is sent.
    this->impl->load->store(requests);
}

void FleetService::reportCrash(const CrashReport &report)
{
    this->impl->runOnControlThread(ReportCrashCommand{report});
}

std::vector<CrashReport> FleetService::crashes() const
{
    const std::scoped_lock lock(this->impl->mutex);
    return this->impl->crashes;
}

void FleetService::liftCrash(std::uint64_t fingerprint)
{
    this->impl->runOnControlThread(LiftCrashCommand{fingerprint});
}

boost::leaf::result<CallRecord> FleetService::createCallRecord(const CallRecord &proposed)
{
    return this->impl->callRecords.create(proposed, Clock::now());
}

void FleetService::finishCallRecord(const CallRecord &record)
{
    const auto failed = [&record](const std::string &detail) {
        LogLine("call-record-not-finished").add("attempt", record.attempt).add("detail", detail).warn();
    };
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(finished, this->impl->callRecords.finish(record));
            if (!finished) {
                failed("the record is owned by another attempt or has expired");
            }
            return {};
        },
        [&](const KeyValueUnavailable &failure) { failed(failure.detail); }, [&] { failed("unknown"); });
}

std::string FleetService::configText() const
{
    return formatConfig(*this->impl->store.current());
}

boost::leaf::result<std::uint64_t> FleetService::applyConfig(const std::string &text, std::uint64_t baseRevision,
                                                             const std::string &changeId, const std::string &author)
{
    return this->impl->sync.apply(text, baseRevision, changeId, author);
}

boost::leaf::result<std::vector<std::string>> FleetService::configHistory()
{
    return this->impl->sync.history();
}

}
