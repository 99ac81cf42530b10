#include "idempotencyguard.h"

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

// The workspace is part of the key, so that equal keys of two workspaces do not collide.
std::string registryKey(const CallerRequest &request)
{
    return "call\n" + workspaceOf(request) + "\n" + keyOf(request);
}

HttpResponse unknownOutcomeResponse(int status, const std::string &type, const std::string &message,
                                    const std::string &requestId)
{
    return errorResponse(CallerError{status, type, message, RunOutcome::Unknown}, requestId);
}

bool didNotRun(const HttpResponse &response)
{
    const auto outcome = response.headers.find("Run-Outcome");
    return outcome != response.headers.end() && outcome->second == toString(RunOutcome::NotRun);
}

}

IdempotencyGuard::IdempotencyGuard(ProxyCore &core, CallRegistry &registry, Runner runner, PeerCaller peerCaller)
    : core(core)
    , registry(registry)
    , runner(std::move(runner))
    , peerCaller(std::move(peerCaller))
    , startTime(Clock::now())
{
}

std::string IdempotencyGuard::newTicket() const
{
    return issueTicket(Ticket{this->core.settings.adminAddress, this->core.incarnation, this->ticketClock()},
                       this->core.settings.sharedKey);
}

Millis IdempotencyGuard::ticketClock() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - this->startTime);
}

std::string IdempotencyGuard::requestHash(const CallerRequest &request) const
{
    return keyedHash(request.method + "\n" + request.target + "\n" + request.body, this->core.settings.sharedKey);
}

HttpResponse IdempotencyGuard::handle(const CallerRequest &request, const std::string &requestId, CancelSignal &cancel)
{
    const std::string key = keyOf(request);
    if (!hasTicketPrefix(key)) {
        return this->handleCallerKey(request, requestId, cancel);
    }
    const auto ticket = readTicket(key, this->core.settings.sharedKey);
    if (!ticket) {
        return errorResponse(CallerError{400, "invalid-ticket", "the Idempotency-Key is a damaged or forged ticket"},
                             requestId);
    }
    return this->handleTicketCall(request, *ticket, requestId, cancel);
}

HttpResponse IdempotencyGuard::handleTicketCall(const CallerRequest &request, const Ticket &ticket,
                                                const std::string &requestId, CancelSignal &cancel)
{
    if (ticket.address != this->core.settings.adminAddress) {
        return this->forward(request, ticket.address, ticket.incarnation, requestId, cancel);
    }
    if (ticket.incarnation != this->core.incarnation) {
        return unknownOutcomeResponse(409, "ticket-lost", "the entry that issued the ticket has restarted", requestId);
    }
    const auto lookup = this->registry.peek(registryKey(request), this->requestHash(request));
    if (lookup.keyStatus == CallRegistry::KeyStatus::New && this->ticketClock() - ticket.issued >= Ticket::Lifetime) {
        // The registry may have removed the key, so status New does not prove that the call has not run.
        return unknownOutcomeResponse(409, "ticket-expired", "the ticket has expired; its call may have run",
                                      requestId);
    }
    if (auto refusal = this->refuseIfNew(lookup.keyStatus, requestId)) {
        return *refusal;
    }
    return this->runOrReplay(request, requestId, cancel);
}

std::optional<HttpResponse> IdempotencyGuard::refuseIfNew(CallRegistry::KeyStatus keyStatus,
                                                          const std::string &requestId) const
{
    const auto refusal = this->core.refusal();
    const bool isNew = keyStatus == CallRegistry::KeyStatus::New || keyStatus == CallRegistry::KeyStatus::AfterRefusal;
    if (!refusal || !isNew) {
        return std::nullopt;
    }
    return errorResponse(*refusal, requestId);
}

HttpResponse IdempotencyGuard::handleCallerKey(const CallerRequest &request, const std::string &requestId,
                                               CancelSignal &cancel)
{
    const auto previous = this->registry.peek(registryKey(request), this->requestHash(request));
    if (auto refusal = this->refuseIfNew(previous.keyStatus, requestId)) {
        return *refusal;
    }
    const auto lookup = this->registry.beginOrWait(registryKey(request), this->requestHash(request), cancel);
    if (lookup.keyStatus != CallRegistry::KeyStatus::New && lookup.keyStatus != CallRegistry::KeyStatus::AfterRefusal) {
        return this->replyFromRegistry(lookup, requestId);
    }
    if (auto existing = this->createRecord(request, requestId, cancel)) {
        return *existing;
    }
    return this->runAndStore(request, requestId, cancel);
}

std::optional<HttpResponse> IdempotencyGuard::createRecord(const CallerRequest &request, const std::string &requestId,
                                                           CancelSignal &cancel)
{
    const std::string key = registryKey(request);
    CallRecord proposed = this->makeRecord(request);
    // An earlier run that was refused may have created a record under its attempt id. Reusing the id makes that record
    // count as our own.
    proposed.attempt = this->registry.attempt(key);
    if (proposed.attempt.empty()) {
        proposed.attempt = toHex(randomNumber()) + toHex(randomNumber());
        this->registry.setAttempt(key, proposed.attempt);
    }
    const auto stored = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<CallRecord>> {
            BOOST_LEAF_AUTO(record, this->core.hooks.createCallRecord(proposed));
            return std::optional(record);
        },
        []() -> std::optional<CallRecord> { return std::nullopt; });
    if (stored && stored->attempt == proposed.attempt) {
        return std::nullopt;
    }
    if (!stored) {
        this->registry.markRefused(key);
        // The call was not started now, but an earlier one with the same key, sent to another entry, may have run; its
        // record cannot be read at the moment. A caller that is told not-run might repeat the call under another key.
        return errorResponse(CallerError{503, "key-value-unavailable",
                                         "the call record cannot be read or written; this call was not started, but an "
                                         "earlier one with the same key may have run",
                                         RunOutcome::Unknown, KeyValueRetryAfter},
                             requestId);
    }
    this->registry.remove(key);
    if (stored->requestHash != proposed.requestHash) {
        return this->replyFromRegistry({CallRegistry::KeyStatus::RequestMismatch, {}}, requestId);
    }
    if (stored->entry == proposed.entry && stored->incarnation == proposed.incarnation) {
        // The call was begun at this incarnation, and the registry has expired it.
        return this->replyFromRegistry({CallRegistry::KeyStatus::ResultDropped, {}}, requestId);
    }
    return this->forward(request, stored->adminAddress, stored->incarnation, requestId, cancel);
}

CallRecord IdempotencyGuard::makeRecord(const CallerRequest &request) const
{
    CallRecord record;
    record.workspace = workspaceOf(request);
    record.key = keyOf(request);
    record.entry = this->core.settings.name;
    record.incarnation = this->core.incarnation;
    record.adminAddress = this->core.settings.adminAddress;
    record.requestHash = this->requestHash(request);
    return record;
}

HttpResponse IdempotencyGuard::runOrReplay(const CallerRequest &request, const std::string &requestId,
                                           CancelSignal &cancel)
{
    const auto lookup = this->registry.beginOrWait(registryKey(request), this->requestHash(request), cancel);
    if (lookup.keyStatus != CallRegistry::KeyStatus::New && lookup.keyStatus != CallRegistry::KeyStatus::AfterRefusal) {
        return this->replyFromRegistry(lookup, requestId);
    }
    return this->runAndStore(request, requestId, cancel);
}

HttpResponse IdempotencyGuard::runAndStore(const CallerRequest &request, const std::string &requestId,
                                           CancelSignal &cancel)
{
    const std::string key = registryKey(request);
    if (cancel.reason() != CancelReason::None) {
        this->registry.markRefused(key);
        return errorResponse(CallerError{503, "cancelled", "the call was cancelled before it was started"}, requestId);
    }
    // Once started, the call continues without its caller, so that its result can be replayed to a resend.
    cancel.ignoreCallerDisconnect();
    HttpResponse response = this->runner(request, requestId, cancel);
    if (didNotRun(response)) {
        this->registry.markRefused(key);
        return response;
    }
    CallRecord record = this->makeRecord(request);
    record.attempt = this->registry.attempt(key);
    this->registry.finish(key, response);
    if (!record.attempt.empty()) {
        record.finished = true;
        record.status = response.headers.contains("Run-Outcome") ? 0 : response.status;
        this->core.hooks.finishCallRecord(record);
    }
    return response;
}

HttpResponse IdempotencyGuard::replyFromRegistry(const CallRegistry::Lookup &lookup, const std::string &requestId)
{
    switch (lookup.keyStatus) {
    case CallRegistry::KeyStatus::Finished: {
        HttpResponse response = lookup.result;
        response.headers["Idempotent-Replay"] = "true";
        this->core.metrics.count("cyclamencross_call_replays_total");
        return response;
    }
    case CallRegistry::KeyStatus::RequestMismatch:
        return errorResponse(CallerError{409, "key-reused", "the Idempotency-Key belongs to a different request"},
                             requestId);
    case CallRegistry::KeyStatus::Full:
        return errorResponse(CallerError{503, "too-many-keys", "this entry cannot store another idempotency key",
                                         RunOutcome::NotRun, KeyValueRetryAfter},
                             requestId);
    case CallRegistry::KeyStatus::Running:
        return unknownOutcomeResponse(504, "call-running", "the call is still running; retry with the same key",
                                      requestId);
    case CallRegistry::KeyStatus::New:
    case CallRegistry::KeyStatus::AfterRefusal:
    case CallRegistry::KeyStatus::ResultDropped:
        break;
    }
    return unknownOutcomeResponse(409, "result-dropped", "the call was started, but its result is not stored",
                                  requestId);
}

HttpResponse IdempotencyGuard::forward(const CallerRequest &request, const std::string &address,
                                       std::uint64_t incarnation, const std::string &requestId, CancelSignal &cancel)
{
    const Millis timeLeft = std::min(cancel.timeLeft(), this->core.settings.backendTimeout);
    const HttpRequest call{"POST",
                           "/peer/call",
                           {{"Content-Type", "application/cbor"}},
                           encodePeerCall(PeerCall{request, incarnation, timeLeft})};
    LogLine("call-forward")
        .add("request", requestId)
        .add("owner", address)
        .add("incarnation", toHex(incarnation))
        .write();
    this->core.metrics.count("cyclamencross_calls_forwarded_total");
    const auto unreachable = [&](const std::string &detail) {
        return unknownOutcomeResponse(504, "owner-unreachable", "the entry that owns the call " + detail, requestId);
    };
    return leaf::try_handle_all(
        [&]() -> leaf::result<HttpResponse> { return this->peerCaller(address, call, timeLeft); },
        [&](const ConnectFailed &) { return unreachable("refused the connection"); },
        [&](const ExchangeFailed &broken) { return unreachable("did not respond: " + broken.detail); },
        [&] { return unreachable("could not be reached"); });
}

HttpResponse IdempotencyGuard::handlePeerCall(const HttpRequest &request, CancelSignal &cancel)
{
    const auto call = decodePeerCall(request.body);
    const std::string requestId = this->core.newRequestId();
    if (!call) {
        return errorResponse(CallerError{400, "invalid-request", "malformed peer call"}, requestId);
    }
    if (call->incarnation != this->core.incarnation) {
        return unknownOutcomeResponse(409, "ticket-lost", "the entry that owns the call has restarted", requestId);
    }
    cancel.setDeadline(Clock::now() + call->timeLeft);
    const std::string key = keyOf(call->request);
    if (hasTicketPrefix(key)) {
        const auto ticket = readTicket(key, this->core.settings.sharedKey);
        if (!ticket || ticket->address != this->core.settings.adminAddress) {
            return errorResponse(CallerError{400, "invalid-ticket", "the ticket was not issued here"}, requestId);
        }
        return this->handleTicketCall(call->request, *ticket, requestId, cancel);
    }
    // The call was forwarded because its record names this incarnation, so it was begun here. A key that the registry
    // does not have any more may have run.
    const auto lookup = this->registry.peek(registryKey(call->request), this->requestHash(call->request));
    if (lookup.keyStatus == CallRegistry::KeyStatus::New) {
        return this->replyFromRegistry({CallRegistry::KeyStatus::ResultDropped, {}}, requestId);
    }
    return this->runOrReplay(call->request, requestId, cancel);
}

}
