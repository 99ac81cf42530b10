#include "cyclamencross/grant/grantservice.h"

#include "enginepoller.h"
#include "loadtable.h"
#include "orphantracker.h"
#include "prefixhints.h"
#include "slotclient.h"
#include "slotmessages.h"
#include "slotserver.h"

#include "cyclamencross/base/controlsystem.h"
#include "cyclamencross/net/datagramport.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include <caf/all.hpp>

namespace Cyclamen
{

namespace
{

struct SlotRequestMessage
{
    SlotAsk request;
    std::string replyAddress; // empty for this process
};
struct UnreachableMessage
{
    std::string engine;
};
struct TickMessage
{
};
struct DeadlineMessage
{
    TimePoint scheduled;
};

// Maximum delay until a change of the fleet takes effect on the owned engines.
constexpr Millis TickPeriod{250};

}

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::SlotRequestMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::SlotRelease)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::EngineReport)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::UnreachableMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::TickMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::DeadlineMessage)

namespace Cyclamen
{

namespace
{

struct ActorState
{
    std::optional<TimePoint> scheduled; // time of the earliest pending DeadlineMessage
};
using SlotServerActor = caf::stateful_actor<ActorState>;

void scheduleDeadline(SlotServerActor *self, const SlotServer &server)
{
    const TimePoint now = Clock::now();
    const auto next = server.nextDeadline(now);
    if (next && (!self->state.scheduled || *next < *self->state.scheduled)) {
        self->state.scheduled = next;
        self->delayed_send(self, std::max<Clock::duration>(Clock::duration(0), *next - now), DeadlineMessage{*next});
    }
}

// The server outlives the actor, see ~GrantService().
caf::behavior makeBehavior(SlotServerActor *self, SlotServer *server)
{
    return {
        [=](const SlotRequestMessage &message) {
            server->handleSlotRequest(message.request, message.replyAddress, Clock::now());
            scheduleDeadline(self, *server);
        },
        [=](const SlotRelease &release) {
            server->handleRelease(release, Clock::now());
            scheduleDeadline(self, *server);
        },
        [=](const EngineReport &report) {
            server->handleReport(report, Clock::now());
            scheduleDeadline(self, *server);
        },
        [=](const UnreachableMessage &message) {
            server->handleUnreachable(message.engine, Clock::now());
            scheduleDeadline(self, *server);
        },
        [=](const TickMessage & /*message*/) {
            self->delayed_send(self, TickPeriod, TickMessage{});
            server->tick(Clock::now());
            scheduleDeadline(self, *server);
        },
        [=](const DeadlineMessage &message) {
            if (self->state.scheduled != message.scheduled) {
                return; // Superseded by an earlier deadline.
            }
            self->state.scheduled.reset();
            server->processDeadlines(Clock::now());
            scheduleDeadline(self, *server);
        },
    };
}

}

// Allows the datagram port to outlive this service: after destruction, its receiving thread finds the gate closed.
struct GrantService::ReceiveGate
{
    std::mutex mutex;
    bool isOpen = true;
};

struct GrantService::Impl
{
    Impl(const Settings &settings, ViewHook view, ControlSystem &control, SendHook send, Metrics &metrics);
    SlotClient::Hooks clientHooks();
    SlotServer::Hooks serverHooks();
    EnginePoller::Hooks pollerHooks();

    ViewHook view;
    SendHook send;
    ControlSystem &control;
    LoadTable loads;
    PrefixHints hints;
    OrphanTracker orphans;
    SlotClient client;
    SlotServer server;
    caf::actor actor;
    EnginePoller poller; // after the members that its threads use until they are joined
    std::shared_ptr<ReceiveGate> gate = std::make_shared<ReceiveGate>();
};

GrantService::Impl::Impl(const Settings &settings, ViewHook viewHook, ControlSystem &controlSystem, SendHook sendHook,
                         Metrics &metrics)
    : view(std::move(viewHook))
    , send(std::move(sendHook))
    , control(controlSystem)
    , orphans(settings.suspicion)
    , client(this->clientHooks(), this->loads, metrics)
    , server(this->serverHooks(), metrics)
    , actor(controlSystem.actors().spawn(makeBehavior, &this->server))
    , poller(settings, this->pollerHooks(), this->orphans, this->hints, metrics)
{
}

SlotClient::Hooks GrantService::Impl::clientHooks()
{
    SlotClient::Hooks hooks;
    hooks.view = this->view;
    hooks.sendRequest = [this](const Member &owner, const SlotAsk &request) {
        if (owner.name == this->view()->self.name) {
            caf::anon_send(this->actor, SlotRequestMessage{request, {}});
        } else {
            this->send(owner.gossipAddress, DatagramKind::SlotAsk, encode(request));
        }
    };
    hooks.sendRelease = [this](const Member &owner, const SlotRelease &release) {
        if (owner.name == this->view()->self.name) {
            caf::anon_send(this->actor, release);
        } else {
            this->send(owner.gossipAddress, DatagramKind::SlotRelease, encode(release));
        }
    };
    return hooks;
}

SlotServer::Hooks GrantService::Impl::serverHooks()
{
    SlotServer::Hooks hooks;
    hooks.view = this->view;
    hooks.reply = [this](const std::string &address, const SlotReply &decision) {
        SlotReply reply = decision;
        reply.owner = this->view()->self.name;
        if (address.empty()) {
            this->client.handleReply(reply);
        } else {
            this->send(address, DatagramKind::SlotReply, encode(reply, Clock::now()));
        }
    };
    hooks.setPolledEngines = [this](const std::vector<Backend> &engines) { this->poller.setEngines(engines); };
    hooks.publishLoad = [this](const EngineLoad &load) { this->loads.update(load, load.known); };
    hooks.isDead = [this](const std::string &requestId, const FleetView &fleet) {
        return this->orphans.isDead(requestId, fleet);
    };
    return hooks;
}

EnginePoller::Hooks GrantService::Impl::pollerHooks()
{
    EnginePoller::Hooks hooks;
    hooks.view = this->view;
    hooks.report = [this](const EngineReport &report) { caf::anon_send(this->actor, report); };
    hooks.unreachable = [this](const std::string &engine) { caf::anon_send(this->actor, UnreachableMessage{engine}); };
    return hooks;
}

GrantService::GrantService(const Settings &settings, ViewHook view, ControlSystem &control, SendHook send,
                           Metrics &metrics)
    : impl(std::make_unique<Impl>(settings, std::move(view), control, std::move(send), metrics))
{
}

GrantService::GrantService(const Settings &settings, ViewHook view, ControlSystem &control, DatagramPort &port,
                           Metrics &metrics)
    : GrantService(
        settings, std::move(view), control,
        [&port](const std::string &address, DatagramKind kind, const std::string &payload) {
            port.send(address, kind, payload);
        },
        metrics)
{
    for (const DatagramKind kind : {DatagramKind::SlotAsk, DatagramKind::SlotReply, DatagramKind::SlotRelease}) {
        port.receive(kind, [this, gate = this->impl->gate](const Datagram &datagram) {
            const std::scoped_lock lock(gate->mutex);
            if (gate->isOpen) {
                this->receive(datagram);
            }
        });
    }
}

GrantService::~GrantService()
{
    {
        const std::scoped_lock lock(this->impl->gate->mutex);
        this->impl->gate->isOpen = false;
    }
    caf::scoped_actor waitingActor{this->impl->control.actors()};
    caf::anon_send_exit(this->impl->actor, caf::exit_reason::user_shutdown);
    waitingActor->wait_for(this->impl->actor);
}

void GrantService::start()
{
    this->impl->poller.start();
    caf::anon_send(this->impl->actor, TickMessage{});
}

void GrantService::receive(const Datagram &datagram)
{
    if (datagram.kind == DatagramKind::SlotAsk) {
        if (const auto request = decodeSlotRequest(datagram.payload)) {
            caf::anon_send(this->impl->actor, SlotRequestMessage{*request, datagram.from});
        }
    } else if (datagram.kind == DatagramKind::SlotRelease) {
        if (const auto release = decodeSlotRelease(datagram.payload)) {
            caf::anon_send(this->impl->actor, *release);
        }
    } else if (const auto reply = decodeSlotReply(datagram.payload, Clock::now())) {
        this->impl->client.handleReply(*reply);
    }
}

boost::leaf::result<SlotGrant> GrantService::acquire(const SlotAsk &request)
{
    return this->impl->client.acquire(request);
}

void GrantService::release(const SlotGrant &grant)
{
    this->impl->client.release(grant);
}

std::optional<EngineLoad> GrantService::load(const std::string &engine) const
{
    return this->impl->loads.find(engine, Clock::now());
}

std::optional<std::string> GrantService::prefixHint(const std::string &prefix) const
{
    return this->impl->hints.find(prefix);
}

void GrantService::notePrefix(const std::string &prefix, const std::string &engine)
{
    this->impl->hints.record(prefix, engine);
}

}
