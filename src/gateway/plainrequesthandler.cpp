#include "plainrequesthandler.h"

#include "capacitywaiter.h"
#include "httpsession.h"
#include "requestpermit.h"
#include "routerstate.h"
#include "waitorder.h"
#include "workreservation.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/gateway/httpclientconnection.h"
#include "cyclamencross/route/placement.h"
#include "cyclamencross/route/placementcandidate.h"

#include <limits>

namespace Cyclamen
{

namespace
{

// Share of the remaining time after which an attempt times out if the request is repeatable and has attempts left.
constexpr double AttemptTimeShare = 0.5;
// Share of the target latency within which a request must find capacity to be on time. The rest is for the call itself
// and the calls queued before it at the backend server.
constexpr double OnTimeShare = 0.4;
// Share of the remaining time that a request waits for capacity. The rest is left for the caller's next attempt.
constexpr double MaxWaitShare = 0.4;
// Expected work of a call, for the shares of workspaces: nothing in a call tells more.
constexpr std::int64_t CallWork = 1;
// The kernel holds up to 64 KB of an answer when the request has ended for the router: a third of an answer of 192 KB.
constexpr double SendBufferMargin = 1.5;

}

boost::asio::awaitable<void> PlainRequestHandler::serve()
{
    this->failure = "no-backend";
    if (this->isCutByStop()) {
        co_await this->finishWithFailure("stopping");
        co_return;
    }
    while (!this->shouldStop() && this->unreachableCount < MaxUnreachable && !this->shouldHandOn()) {
        const auto candidates = co_await this->waitForCapacity();
        if (!candidates) {
            this->failure = this->noCapacityReason();
            break;
        }
        if (!this->mayHaveExecuted && this->isCutByStop()) {
            this->failure = "stopping";
            break;
        }
        const auto choice = Placement::choosePlain(*candidates, std::numeric_limits<double>::infinity(),
                                                   [this] { return this->state.random(); });
        if (!choice) {
            if (this->silentUntil(this->excluded)) {
                this->setSilenceFailure();
            }
            break;
        }
        if (!this->reserveRetry()) {
            this->failure += ",retry-budget";
            break;
        }
        const PlacementCandidate &chosen = (*candidates)[*choice];
        LogLine("placement")
            .add("request", this->request.id)
            .add("candidates", std::int64_t(candidates->size()))
            .add("backend", chosen.server.id)
            .add("in_flight", chosen.work.requests)
            .add("told_calls", chosen.reportedCalls.value_or(-1))
            .add("failure_rate", chosen.failureRate)
            .add("avoided", chosen.avoided)
            .add("zone", chosen.server.zone)
            .add("told_slowdown", chosen.toldSlowdown.factor)
            .add("told_age_ms", std::int64_t(chosen.toldSlowdown.age.count()))
            .add("told_to", chosen.toldSlowdown.isFromPeer ? "peer" : "own")
            .write();
        const AttemptResult result = co_await this->attempt(chosen.server);
        if (result == AttemptResult::Done) {
            co_return;
        }
        if (result == AttemptResult::Fail) {
            break;
        }
    }
    const bool served = co_await this->serveByPeer();
    if (!served) {
        co_await this->finishWithFailure(this->failure);
    }
}

boost::asio::awaitable<std::optional<std::vector<PlacementCandidate>>> PlainRequestHandler::waitForCapacity()
{
    const TimePoint start = Clock::now();
    const Millis target = this->route.targetLatency;
    const auto maxWait = std::chrono::duration_cast<Millis>((this->deadline - start) * MaxWaitShare);
    const auto onTimeFor = std::chrono::duration_cast<Millis>(target * OnTimeShare);
    const CapacityWait wait(this->request.received, onTimeFor, maxWait);
    CapacityWaiter waiter(this->state, this->service, wait, !this->mayHaveExecuted,
                          this->makeWaitOrder(wait, CallWork));
    std::optional<std::vector<PlacementCandidate>> availableCandidates;
    while (!this->shouldStop()) {
        const CapacityWait::Action action = waiter.nextAction();
        auto candidates = this->state.candidates(this->service, EngineStage::None, this->excluded,
                                                 this->state.settings.zone, Clock::now());
        if (candidates.empty()) {
            co_return candidates; // There is nothing to wait for.
        }
        const auto available =
            Placement::choosePlain(candidates, 1 + Placement::MaxQueuedCallsPerSlot, [] { return 0.0; });
        const bool tries = action == CapacityWait::Action::Try || action == CapacityWait::Action::TryLast;
        if (tries && available) {
            availableCandidates = std::move(candidates);
            this->recordRoom(waiter.order(), CallWork);
        }
        if (availableCandidates || action == CapacityWait::Action::TryLast || action == CapacityWait::Action::GiveUp) {
            break;
        }
        co_await waiter.pause();
    }
    const auto waited = std::chrono::duration_cast<Millis>(Clock::now() - start);
    if (waited >= CapacityWait::OnTimeRetryDelay) {
        LogLine line("waited-for-room");
        line.add("request", this->request.id)
            .add("ms", std::int64_t(waited.count()))
            .add("found", availableCandidates.has_value());
        if (waiter.order() != nullptr) {
            waiter.order()->describe(line);
        }
        line.write();
    }
    if (!availableCandidates) {
        this->recordNoRoom(waiter.order());
    }
    co_return availableCandidates;
}

boost::asio::awaitable<PlainRequestHandler::AttemptResult> PlainRequestHandler::attempt(BackendServer server)
{
    auto reservation = std::make_unique<WorkReservation>(this->state.work, server.id, BackendWork{1, 0, {}});
    RequestPermit permit(this->state.namedLimits, server.id);
    const bool open = co_await this->openConnection(server, !this->route.mayRepeat());
    if (!open) {
        this->failure = "unreachable";
        co_return AttemptResult::Retry;
    }
    if (this->shouldStop() || !this->state.isUsable(server, Clock::now())) {
        this->excluded.insert(server.id);
        co_return AttemptResult::Retry;
    }
    if (!permit.renew()) {
        this->failure = "at-limit";
        this->releaseConnection(server);
        co_return AttemptResult::Retry;
    }
    this->excluded.insert(server.id);
    ++this->attempts;
    const TimePoint sentAt = Clock::now();
    this->send(server, BackendCall(), permit);
    const bool anotherFollows = this->route.mayRepeat() && this->hasAttemptsLeft();
    const auto attemptTimeout =
        std::chrono::duration_cast<Clock::duration>((this->deadline - Clock::now()) * AttemptTimeShare);
    const TimePoint until = anotherFollows ? Clock::now() + attemptTimeout : this->deadline;
    const ConnectionStatus status = co_await this->readMatchingResponse(server, until);
    if (status == ConnectionStatus::Ok && this->response.notExecuted) {
        this->failure = this->response.wrongBackend ? "wrong-backend" : "rejected";
        this->attempts -= this->response.wrongBackend ? 1 : 0;
        this->recordOutcome(server, CallOutcome::Rejected);
        this->releaseConnection(server);
        co_return this->hasAttemptsLeft() ? AttemptResult::Retry : AttemptResult::Fail;
    }
    if (!this->isValidResponse(status)) {
        this->mayHaveExecuted = true;
        this->failCall(server, status);
        co_return this->resultAfterFailure();
    }
    const int code = this->connection->status();
    this->recordServed(Clock::now());
    this->recordOutcome(server, code >= 500 ? CallOutcome::Failed : CallOutcome::Served);
    if (code >= 500 || impliesNotExecuted(code)) {
        this->mayHaveExecuted = true;
        this->failure = "status-" + std::to_string(code);
        if (this->resultAfterFailure() == AttemptResult::Retry && this->reserveRetry()) {
            this->releaseConnection(server);
            co_return AttemptResult::Retry;
        }
        if (impliesNotExecuted(code)) {
            // The status would tell the caller that the request was not executed, which the backend server did not
            // state.
            co_return AttemptResult::Fail;
        }
    }
    reservation = nullptr; // The backend server has done its work, however slowly the caller reads.
    co_await this->forwardResponse(server);
    if (!this->session.isCallerDisconnected()) {
        this->state.routeDurations.record(this->route.name, std::chrono::duration_cast<Millis>(Clock::now() - sentAt));
    }
    co_return AttemptResult::Done;
}

bool PlainRequestHandler::isCutByStop() const
{
    if (!this->state.stopSchedule || !this->state.hasOtherRouters()) {
        return false;
    }
    const auto duration = std::chrono::duration_cast<Millis>(this->longestDuration() * SendBufferMargin);
    return !this->state.stopSchedule->canFinish(Clock::now(), duration);
}

PlainRequestHandler::AttemptResult PlainRequestHandler::resultAfterFailure() const
{
    return this->route.mayRepeat() && this->hasAttemptsLeft() ? AttemptResult::Retry : AttemptResult::Fail;
}

}
