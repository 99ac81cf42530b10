#include "cyclamencross/grant/grantservice.h"

#include "enginepoller.h"
#include "slotserver.h"
#include "loadtable.h"
#include "orphantracker.h"
#include "prefixhints.h"
#include "slotclient.h"
#include "slotmessages.h"

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

struct AskMessage
{
    SlotAsk ask;
    std::string replyAddress; // empty: this process
};
struct UnreachableMessage
{
    std::string engine;
};
struct TickMessage
{
};
struct WakeMessage
{
    TimePoint planned;
};

// Bounds the delay until a change of the fleet shows in what is owned.
constexpr Millis TickPeriod{250};

}

}

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::AskMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::SlotRelease)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::EngineReport)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::UnreachableMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::TickMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(Cyclamen::WakeMessage)

namespace Cyclamen
{

namespace
{

struct BookState
{
    std::optional<TimePoint> planned; // of the earliest wake-up under way
};
using BookActor = caf::stateful_actor<BookState>;

void planWake(BookActor *self, const LedgerBook &book)
{
    const TimePoint now = Clock::now();
    const auto next = book.nextWake(now);
    if (next && (!self->state.planned || *next < *self->state.planned)) {
        self->state.planned = next;
        self->delayed_send(self, std::max<Clock::duration>(Clock::duration(0), *next - now), WakeMessage{*next});
    }
}

// The book lives until the actor has ended, see ~GrantService().
caf::behavior makeBehavior(BookActor *self, LedgerBook *book)
{
    return {
        [=](const AskMessage &message) {
            book->takeAsk(message.ask, message.replyAddress, Clock::now());
            planWake(self, *book);
        },
        [=](const SlotRelease &release) {
            book->takeRelease(release, Clock::now());
            planWake(self, *book);
        },
        [=](const EngineReport &report) {
            book->takeReport(report, Clock::now());
            planWake(self, *book);
        },
        [=](const UnreachableMessage &message) {
            book->takeUnreachable(message.engine, Clock::now());
            planWake(self, *book);
        },
        [=](const TickMessage & /*message*/) {
            self->delayed_send(self, TickPeriod, TickMessage{});
            book->tick(Clock::now());
            planWake(self, *book);
        },
        [=](const WakeMessage &message) {
            if (self->state.planned != message.planned) {
                return; // An earlier one was planned since.
            }
            self->state.planned.reset();
            book->wake(Clock::now());
            planWake(self, *book);
        },
    };
}

}

// Lets a datagram port outlive this service: its receiving thread finds the gate closed.
struct GrantService::ReceiveGate
{
    std::mutex mutex;
    bool isOpen = true;
};

struct GrantService::Members
{
    Members(const Settings &settings, ViewHook view, ControlSystem &control, SendHook send, Metrics &metrics);
    SlotClient::Hooks clientHooks();
    LedgerBook::Hooks bookHooks();
    EnginePoller::Hooks pollerHooks();

    ViewHook view;
    SendHook send;
    ControlSystem &control;
    LoadTable loads;
    PrefixHints hints;
    OrphanTracker orphans;
    SlotClient client;
    LedgerBook book;
    caf::actor actor;
    EnginePoller poller; // last, since its threads use the others until they are joined
    std::shared_ptr<ReceiveGate> gate = std::make_shared<ReceiveGate>();
};

GrantService::Members::Members(const Settings &settings, ViewHook viewHook, ControlSystem &controlSystem,
                               SendHook sendHook, Metrics &metrics)
    : view(std::move(viewHook))
    , send(std::move(sendHook))
    , control(controlSystem)
    , orphans(settings.suspicion)
    , client(this->clientHooks(), this->loads, metrics)
    , book(this->bookHooks(), metrics)
    , actor(controlSystem.actors().spawn(makeBehavior, &this->book))
    , poller(settings, this->pollerHooks(), this->orphans, this->hints, metrics)
{
}

SlotClient::Hooks GrantService::Members::clientHooks()
{
    SlotClient::Hooks hooks;
    hooks.view = this->view;
    hooks.sendAsk = [this](const Member &owner, const SlotAsk &ask) {
        if (owner.name == this->view()->self.name) {
            caf::anon_send(this->actor, AskMessage{ask, {}});
        } else {
            this->send(owner.gossipAddress, DatagramKind::SlotAsk, encode(ask));
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

LedgerBook::Hooks GrantService::Members::bookHooks()
{
    LedgerBook::Hooks hooks;
    hooks.view = this->view;
    hooks.reply = [this](const std::string &address, const SlotReply &decided) {
        SlotReply reply = decided;
        reply.owner = this->view()->self.name;
        if (address.empty()) {
            this->client.takeReply(reply);
        } else {
            this->send(address, DatagramKind::SlotReply, encode(reply, Clock::now()));
        }
    };
    hooks.watch = [this](const std::vector<Backend> &engines) { this->poller.watch(engines); };
    hooks.publish = [this](const EngineLoad &load) { this->loads.learn(load, load.known); };
    hooks.isDead = [this](const std::string &requestId, const FleetView &fleet) {
        return this->orphans.isDead(requestId, fleet);
    };
    return hooks;
}

EnginePoller::Hooks GrantService::Members::pollerHooks()
{
    EnginePoller::Hooks hooks;
    hooks.view = this->view;
    hooks.report = [this](const EngineReport &report) { caf::anon_send(this->actor, report); };
    hooks.unreachable = [this](const std::string &engine) { caf::anon_send(this->actor, UnreachableMessage{engine}); };
    return hooks;
}

GrantService::GrantService(const Settings &settings, ViewHook view, ControlSystem &control, SendHook send,
                           Metrics &metrics)
    : members(std::make_unique<Members>(settings, std::move(view), control, std::move(send), metrics))
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
        port.receive(kind, [this, gate = this->members->gate](const Datagram &datagram) {
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
        const std::scoped_lock lock(this->members->gate->mutex);
        this->members->gate->isOpen = false;
    }
    caf::scoped_actor waiter{this->members->control.actors()};
    caf::anon_send_exit(this->members->actor, caf::exit_reason::user_shutdown);
    waiter->wait_for(this->members->actor);
}

void GrantService::start()
{
    this->members->poller.start();
    caf::anon_send(this->members->actor, TickMessage{});
}

void GrantService::receive(const Datagram &datagram)
{
    if (datagram.kind == DatagramKind::SlotAsk) {
        if (const auto ask = decodeAsk(datagram.payload)) {
            caf::anon_send(this->members->actor, AskMessage{*ask, datagram.from});
        }
    } else if (datagram.kind == DatagramKind::SlotRelease) {
        if (const auto release = decodeRelease(datagram.payload)) {
            caf::anon_send(this->members->actor, *release);
        }
    } else if (const auto reply = decodeReply(datagram.payload, Clock::now())) {
        this->members->client.takeReply(*reply);
    }
}

boost::leaf::result<SlotGrant> GrantService::acquire(const SlotAsk &ask)
{
    return this->members->client.acquire(ask);
}

void GrantService::release(const SlotGrant &grant)
{
    this->members->client.release(grant);
}

std::optional<EngineLoad> GrantService::load(const std::string &engine) const
{
    return this->members->loads.find(engine, Clock::now());
}

std::optional<std::string> GrantService::prefixHint(const std::string &prefix) const
{
    return this->members->hints.find(prefix);
}

void GrantService::notePrefix(const std::string &prefix, const std::string &engine)
{
    this->members->hints.note(prefix, engine);
}

}
