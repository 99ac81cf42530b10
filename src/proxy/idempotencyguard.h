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

/// Runs each call with an `Idempotency-Key` at most once in the whole fleet. A key is either a ticket, which names the
/// entry that may run the call, or chosen by the caller, in which case a record in the key-value service names that
/// entry. Thread-safe.
class IdempotencyGuard
{
public:
    /// Runs the call once. The `Run-Outcome` header of the reply tells whether it ran.
    using Runner = std::function<HttpReply(const CallerRequest &, const std::string &requestId, CancelSignal &cancel)>;

    /// Sends one request to another entry's admin port; see callPeer().
    using PeerCaller =
        std::function<boost::leaf::result<HttpReply>(const std::string &address, const HttpRequest &, Millis timeout)>;

    IdempotencyGuard(ProxyCore &core, CallRegistry &registry, Runner runner, PeerCaller peerCaller);

    /// Handles a call that a caller sent to this entry: runs it, waits for a running one, replays its result, or
    /// forwards it to the entry that may run it.
    HttpReply handle(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    /// Handles a call that another entry forwarded to this one.
    HttpReply handlePeerCall(const HttpRequest &request, CancelSignal &cancel);
    /// Returns a new ticket issued by this incarnation of the entry.
    std::string newTicket() const;

private:
    HttpReply handleTicketCall(const CallerRequest &request, const Ticket &ticket, const std::string &requestId,
                               CancelSignal &cancel);
    /// Handles a call whose key was chosen by the caller.
    HttpReply handleCallerKey(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    /// Returns the refusal of a call that has not run here, if this entry refuses new work.
    std::optional<HttpReply> refuseIfNew(CallRegistry::KeyStatus keyStatus, const std::string &requestId) const;
    /// Runs the call, or replies from the registry if it has run or is running.
    HttpReply runOrReplay(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    /// Creates the durable record of a call that was begun in the registry.
    /// @return the reply if the call must not run here.
    std::optional<HttpReply> createRecord(const CallerRequest &request, const std::string &requestId,
                                          CancelSignal &cancel);
    CallRecord makeRecord(const CallerRequest &request) const;
    /// Runs a begun call, and stores its result in the registry and in its durable record, if it has one.
    HttpReply runAndStore(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel);
    HttpReply replyFromRegistry(const CallRegistry::Lookup &lookup, const std::string &requestId);
    HttpReply forward(const CallerRequest &request, const std::string &address, std::uint64_t incarnation,
                      const std::string &requestId, CancelSignal &cancel);
    std::string requestHash(const CallerRequest &request) const;
    /// Returns the time since the start of this incarnation, by which tickets are dated.
    Millis ticketClock() const;

    ProxyCore &core;
    CallRegistry &registry;
    Runner runner;
    PeerCaller peerCaller;
    TimePoint startTime;
};

}
