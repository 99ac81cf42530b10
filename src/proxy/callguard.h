#pragma once

#include "callerrequest.h"
#include "callregistry.h"
#include "proxycore.h"
#include "ticket.h"

#include "cyclamencross/net/httprequest.h"

#include <functional>
#include <optional>
#include <string>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Runs a call with an `Idempotency-Key` at most once in the whole fleet.
class CallGuard
{
public:
    /// Runs the call once. The reply's `Run-Outcome` says whether it ran.
    using Runner = std::function<HttpReply(const CallerRequest &, const std::string &requestId, CancelSignal &cancel)>;

    /// Sends one request to another entry's admin port; see callPeer().
    using PeerCaller =
        std::function<boost::leaf::result<HttpReply>(const std::string &address, const HttpRequest &, Millis timeout)>;

    CallGuard(ProxyCore &core, CallRegistry &registry, Runner runner, PeerCaller peerCaller);

    /// Answers a caller's call: runs it here, waits for it, replays its result or forwards it to where it may run.
    HttpReply answer(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    /// Answers a call that another entry forwarded to this one.
    HttpReply answerPeer(const HttpRequest &request, CancelSignal &cancel);
    /// Returns a new ticket of this incarnation.
    std::string newTicket() const;

private:
    HttpReply answerTicket(const CallerRequest &request, const Ticket &ticket, const std::string &requestId,
                           CancelSignal &cancel);
    HttpReply answerForeign(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    /// Refuses a call that has not run here while this entry refuses new work.
    std::optional<HttpReply> refuseNew(CallRegistry::Standing standing, const std::string &requestId) const;
    /// Runs the call unless the registry knows it.
    HttpReply runHere(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    /// Creates the durable record of a call that the registry has begun.
    /// @return the answer if the call must not run here.
    std::optional<HttpReply> record(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    CallRecord recordOf(const CallerRequest &request) const;
    HttpReply runAndKeep(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    HttpReply fromRegistry(const CallRegistry::Answer &answer, const std::string &requestId);
    HttpReply forward(const CallerRequest &request, const std::string &address, std::uint64_t incarnation,
                      const std::string &requestId, CancelSignal &cancel);
    std::string hashOf(const CallerRequest &request) const;
    Millis ticketClock() const;

    ProxyCore &core;
    CallRegistry &registry;
    Runner runner;
    PeerCaller peerCaller;
    TimePoint start;
};

}
