#include "callguard.h"

#include "peercall.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"
#include "cyclamencross/base/metrics.h"

#include <algorithm>

#include <boost/leaf.hpp>

namespace Cyclamen
{

namespace leaf = boost::leaf;

namespace
{

constexpr Millis KeyValueRetryAfter{2000};

std::string workspaceOf(const CallerRequest &request)
{
    return request.header("Workspace", "default");
}

std::string keyOf(const CallerRequest &request)
{
    return request.header("Idempotency-Key");
}

// Workspaces do not share keys.
std::string registryKey(const CallerRequest &request)
{
    return "call\n" + workspaceOf(request) + "\n" + keyOf(request);
}

HttpReply unknownOutcome(int status, const std::string &type, const std::string &message, const std::string &requestId)
{
    return errorReply(CallerError{status, type, message, RunOutcome::Unknown}, requestId);
}

bool didNotRun(const HttpReply &reply)
{
    const auto outcome = reply.headers.find("Run-Outcome");
    return outcome != reply.headers.end() && outcome->second == toString(RunOutcome::NotRun);
}

}

CallGuard::CallGuard(ProxyCore &core, CallRegistry &registry, Runner runner, PeerCaller peerCaller)
    : core(core)
    , registry(registry)
    , runner(std::move(runner))
    , peerCaller(std::move(peerCaller))
    , start(Clock::now())
{
}

std::string CallGuard::newTicket() const
{
    return issueTicket(Ticket{this->core.settings.adminAddress, this->core.incarnation, this->ticketClock()},
                       this->core.settings.sharedKey);
}

Millis CallGuard::ticketClock() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - this->start);
}

std::string CallGuard::hashOf(const CallerRequest &request) const
{
    return keyedHash(request.method + "\n" + request.target + "\n" + request.body, this->core.settings.sharedKey);
}

HttpReply CallGuard::answer(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel)
{
    const std::string key = keyOf(request);
    if (!looksLikeTicket(key)) {
        return this->answerForeign(request, requestId, cancel);
    }
    const auto ticket = readTicket(key, this->core.settings.sharedKey);
    if (!ticket) {
        return errorReply(CallerError{400, "invalid-ticket", "the Idempotency-Key is a damaged or forged ticket"},
                          requestId);
    }
    return this->answerTicket(request, *ticket, requestId, cancel);
}

HttpReply CallGuard::answerTicket(const CallerRequest &request, const Ticket &ticket, const std::string &requestId,
                                  CancelSignal &cancel)
{
    if (ticket.address != this->core.settings.adminAddress) {
        return this->forward(request, ticket.address, ticket.incarnation, requestId, cancel);
    }
    if (ticket.incarnation != this->core.incarnation) {
        return unknownOutcome(409, "ticket-lost", "the entry that issued the ticket has restarted", requestId);
    }
    const auto known = this->registry.look(registryKey(request), this->hashOf(request));
    if (known.standing == CallRegistry::Standing::New && this->ticketClock() - ticket.issued >= Ticket::Lifetime) {
        // The key's record may have expired with it.
        return unknownOutcome(409, "ticket-expired", "the ticket is too old to tell whether its call ran", requestId);
    }
    if (auto refusal = this->refuseNew(known.standing, requestId)) {
        return *refusal;
    }
    return this->runHere(request, requestId, cancel);
}

std::optional<HttpReply> CallGuard::refuseNew(CallRegistry::Standing standing, const std::string &requestId) const
{
    const auto refusal = this->core.refusal();
    const bool isNew = standing == CallRegistry::Standing::New || standing == CallRegistry::Standing::Again;
    if (!refusal || !isNew) {
        return std::nullopt;
    }
    return errorReply(*refusal, requestId);
}

HttpReply CallGuard::answerForeign(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel)
{
    const auto known = this->registry.look(registryKey(request), this->hashOf(request));
    if (auto refusal = this->refuseNew(known.standing, requestId)) {
        return *refusal;
    }
    const auto answer = this->registry.beginOrWait(registryKey(request), this->hashOf(request), cancel);
    if (answer.standing != CallRegistry::Standing::New && answer.standing != CallRegistry::Standing::Again) {
        return this->fromRegistry(answer, requestId);
    }
    if (auto otherwise = this->record(request, requestId, cancel)) {
        return *otherwise;
    }
    return this->runAndKeep(request, requestId, cancel);
}

std::optional<HttpReply> CallGuard::record(const CallerRequest &request, const std::string &requestId,
                                           CancelSignal &cancel)
{
    const std::string key = registryKey(request);
    CallRecord wanted = this->recordOf(request);
    // An earlier try that was refused may have left a record of its attempt, so that attempt is used again.
    wanted.attempt = this->registry.attempt(key);
    if (wanted.attempt.empty()) {
        wanted.attempt = toHex(randomNumber()) + toHex(randomNumber());
        this->registry.setAttempt(key, wanted.attempt);
    }
    const auto standing = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<CallRecord>> {
            BOOST_LEAF_AUTO(record, this->core.hooks.createCallRecord(wanted));
            return std::optional(record);
        },
        []() -> std::optional<CallRecord> { return std::nullopt; });
    if (standing && standing->attempt == wanted.attempt) {
        return std::nullopt;
    }
    if (!standing) {
        this->registry.refused(key);
        // This send did not begin the call, but an earlier one, through another entry, may have: its record cannot be
        // read now. A caller that is told not-run might book anew under another key.
        return errorReply(CallerError{503, "key-value-unavailable",
                                      "the key's record cannot be read or written, so the call was not begun now; an "
                                      "earlier send with this key may have run",
                                      RunOutcome::Unknown, KeyValueRetryAfter},
                          requestId);
    }
    this->registry.forget(key);
    if (standing->bodyHash != wanted.bodyHash) {
        return this->fromRegistry({CallRegistry::Standing::OtherRequest, {}}, requestId);
    }
    if (standing->entry == wanted.entry && standing->incarnation == wanted.incarnation) {
        // The call began here, and its memory has expired.
        return this->fromRegistry({CallRegistry::Standing::ResultDropped, {}}, requestId);
    }
    return this->forward(request, standing->adminAddress, standing->incarnation, requestId, cancel);
}

CallRecord CallGuard::recordOf(const CallerRequest &request) const
{
    CallRecord record;
    record.workspace = workspaceOf(request);
    record.key = keyOf(request);
    record.entry = this->core.settings.name;
    record.incarnation = this->core.incarnation;
    record.adminAddress = this->core.settings.adminAddress;
    record.bodyHash = this->hashOf(request);
    return record;
}

HttpReply CallGuard::runHere(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel)
{
    const auto answer = this->registry.beginOrWait(registryKey(request), this->hashOf(request), cancel);
    if (answer.standing != CallRegistry::Standing::New && answer.standing != CallRegistry::Standing::Again) {
        return this->fromRegistry(answer, requestId);
    }
    return this->runAndKeep(request, requestId, cancel);
}

HttpReply CallGuard::runAndKeep(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel)
{
    const std::string key = registryKey(request);
    if (cancel.reason() != CancelReason::None) {
        this->registry.refused(key);
        return errorReply(CallerError{503, "cancelled", "the call ended before it was begun"}, requestId);
    }
    // Once begun, the call goes on without its caller, so that a resend can be told its result.
    cancel.ignoreCallerGone();
    HttpReply reply = this->runner(request, requestId, cancel);
    if (didNotRun(reply)) {
        this->registry.refused(key);
        return reply;
    }
    CallRecord record = this->recordOf(request);
    record.attempt = this->registry.attempt(key);
    this->registry.finish(key, reply);
    if (!record.attempt.empty()) {
        record.finished = true;
        record.status = reply.headers.contains("Run-Outcome") ? 0 : reply.status;
        this->core.hooks.finishCallRecord(record);
    }
    return reply;
}

HttpReply CallGuard::fromRegistry(const CallRegistry::Answer &answer, const std::string &requestId)
{
    switch (answer.standing) {
    case CallRegistry::Standing::Finished: {
        HttpReply reply = answer.result;
        reply.headers["Idempotent-Replay"] = "true";
        this->core.metrics.count("cyclamencross_call_replays_total");
        return reply;
    }
    case CallRegistry::Standing::OtherRequest:
        return errorReply(CallerError{409, "key-reused", "the Idempotency-Key belongs to a different request"},
                          requestId);
    case CallRegistry::Standing::Full:
        return errorReply(CallerError{503, "too-many-keys", "this entry cannot remember another call",
                                      RunOutcome::NotRun, KeyValueRetryAfter},
                          requestId);
    case CallRegistry::Standing::Running:
        return unknownOutcome(504, "call-running", "the call is still running; ask again with the same key", requestId);
    case CallRegistry::Standing::New:
    case CallRegistry::Standing::Again:
    case CallRegistry::Standing::ResultDropped:
        break;
    }
    return unknownOutcome(409, "result-dropped", "the call was begun, but its result is not kept", requestId);
}

HttpReply CallGuard::forward(const CallerRequest &request, const std::string &address, std::uint64_t incarnation,
                             const std::string &requestId, CancelSignal &cancel)
{
    const Millis left = std::min(cancel.left(), this->core.settings.backendTimeout);
    const HttpRequest call{"POST",
                           "/peer/call",
                           {{"Content-Type", "application/cbor"}},
                           packPeerCall(PeerCall{request, incarnation, left})};
    LogLine("call-forward")
        .add("request", requestId)
        .add("owner", address)
        .add("incarnation", toHex(incarnation))
        .write();
    this->core.metrics.count("cyclamencross_calls_forwarded_total");
    const auto unreachable = [&](const std::string &detail) {
        return unknownOutcome(504, "owner-unreachable", "the entry that may know the call " + detail, requestId);
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<HttpReply> { return this->peerCaller(address, call, left); },
        [&](const ConnectFailed &) { return unreachable("refused the connection"); },
        [&](const ExchangeBroken &broken) { return unreachable("did not answer: " + broken.detail); },
        [&] { return unreachable("could not be asked"); });
}

HttpReply CallGuard::answerPeer(const HttpRequest &request, CancelSignal &cancel)
{
    const auto call = unpackPeerCall(request.body);
    const std::string requestId = this->core.newRequestId();
    if (!call) {
        return errorReply(CallerError{400, "invalid-request", "malformed peer call"}, requestId);
    }
    if (call->incarnation != this->core.incarnation) {
        return unknownOutcome(409, "ticket-lost", "the entry that may know the call has restarted", requestId);
    }
    cancel.setDeadline(Clock::now() + call->left);
    const std::string key = keyOf(call->request);
    if (looksLikeTicket(key)) {
        const auto ticket = readTicket(key, this->core.settings.sharedKey);
        if (!ticket || ticket->address != this->core.settings.adminAddress) {
            return errorReply(CallerError{400, "invalid-ticket", "the ticket was not issued here"}, requestId);
        }
        return this->answerTicket(call->request, *ticket, requestId, cancel);
    }
    // A record names this incarnation, so its call was begun here; if it is not known any more, it may have run.
    const auto known = this->registry.look(registryKey(call->request), this->hashOf(call->request));
    if (known.standing == CallRegistry::Standing::New) {
        return this->fromRegistry({CallRegistry::Standing::ResultDropped, {}}, requestId);
    }
    return this->runHere(call->request, requestId, cancel);
}

}
