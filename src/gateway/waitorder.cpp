#include "waitorder.h"

#include "asioutil.h"
#include "routerstate.h"

#include "cyclamencross/base/logline.h"
#include "cyclamencross/route/waitingkeys.h"
#include "cyclamencross/route/workspaceshares.h"

#include <algorithm>
#include <utility>

namespace Cyclamen
{

WaitOrder::WaitOrder(RouterState &state, std::string service, const std::string &request, std::string workspace,
                     const Urgency &urgency, double sizeDraw)
    : state(state)
    , queue(state.urgencyQueue)
    , service(std::move(service))
    , workspace(std::move(workspace))
    , urgency(urgency)
    , sizeDraw(sizeDraw)
    , start(Clock::now())
    , ticket(this->queue->add(this->service, request, urgency, [this] { this->timer.cancel(); }))
    , timer(state.executor)
{
    if (!urgency.isBegun()) {
        this->state.roomEstimator.recordArrival(this->service, urgency.waitClass(), this->start);
    }
}

WaitOrder::~WaitOrder()
{
    if (this->isQueued) {
        this->queue->remove(this->ticket);
    }
}

CapacityWait::Others WaitOrder::others(bool isReported, TimePoint now)
{
    if (now - this->start >= Urgency::LargeFirstAfter) {
        this->urgency = this->urgency.withSize(this->state.roomEstimator.meanTokens(this->service), this->sizeDraw);
    }
    this->urgency = this->urgency.withOverShare(this->isOverShare());
    this->queue->update(this->ticket, this->urgency);
    std::int64_t moreUrgent = 0;
    const auto [from, to] = WaitingKeys::classesBefore(this->service, this->urgency.waitClass());
    for (const auto &[key, work] : this->state.waiting->totals(from, to)) {
        moreUrgent += work.requests;
    }
    const auto ahead = this->queue->ahead(this->ticket, now);
    this->aheadHere = ahead ? ahead : this->aheadHere;
    this->aheadInGroup = std::max(this->aheadInGroup, moreUrgent);
    CapacityWait::Others result;
    result.aheadHere = ahead.has_value();
    result.moreUrgentInGroup = moreUrgent > 0;
    result.onTimeInGroup = this->state.waiting->total(this->service).requests > (isReported ? 1 : 0);
    if (!this->urgency.isBegun()) {
        result.expectedWait = this->state.roomEstimator.expectedWait(
            this->service, this->urgency.waitClass(), moreUrgent, this->state.groupPeers().size() + 1, now);
    }
    return result;
}

void WaitOrder::recordAction(CapacityWait::Action action, const CapacityWait::Others &others, TimePoint now)
{
    if (action == CapacityWait::Action::Try) {
        this->noRoomSince = this->noRoomSince.value_or(now);
        this->queue->recordNoRoom(this->ticket, *this->noRoomSince);
    } else if (action == CapacityWait::Action::Yield && !std::exchange(this->yielded, true)) {
        this->count("cyclamencross_urgency_yielded_total");
    } else if (action == CapacityWait::Action::GiveUp) {
        this->refusedFor = others.expectedWait > Millis(0) ? std::optional(others.expectedWait) : std::nullopt;
    }
}

void WaitOrder::report(TimePoint now)
{
    // A stream that has begun may have tried most engines before; others wait for it no longer than for its equals.
    const bool isHopeless =
        this->urgency.isBegun() && this->noRoomSince && now - *this->noRoomSince >= UrgencyQueue::HoldTime;
    const int newClass = this->urgency.isOnTime(now) && !isHopeless ? this->urgency.waitClass() : -1;
    if (newClass == this->reportedClass) {
        return;
    }
    this->reportedClass = newClass;
    this->classReservation = nullptr;
    if (newClass >= 0) {
        this->classReservation =
            std::make_unique<WorkReservation>(this->state.waiting, WaitingKeys::ofClass(this->service, newClass),
                                              BackendWork{1, this->urgency.expectedTokens(), {}});
    }
}

void WaitOrder::recordRoom(TimePoint now)
{
    this->state.roomEstimator.recordPlacement(this->service, now);
    if (std::exchange(this->isQueued, false)) {
        this->queue->remove(this->ticket);
        this->queue->wakeFirst(this->service, now);
    }
}

boost::asio::awaitable<void> WaitOrder::sleep(Millis duration)
{
    boost::system::error_code error; // The timer was cancelled: the request is to try now.
    this->timer.expires_after(duration);
    co_await this->timer.async_wait(awaitableWithError(error));
}

void WaitOrder::describe(LogLine &line) const
{
    line.add("priority", this->urgency.priority())
        .add("class", this->urgency.waitClass())
        .add("turn", this->urgency.hasTurn())
        .add("yielded", this->yielded)
        .add("ahead", this->aheadHere.value_or(""))
        .add("ahead_in_group", this->aheadInGroup);
    if (this->refusedFor) {
        line.add("refused_for_wait_ms", std::int64_t(this->refusedFor->count()));
    }
}

std::optional<Millis> WaitOrder::earlyRefusal() const
{
    return this->refusedFor;
}

bool WaitOrder::isOverShare() const
{
    if (this->workspace.empty()) {
        return false;
    }
    std::map<std::string, std::int64_t> tokens;
    const auto [from, to] = WaitingKeys::workspaces(this->service);
    for (const auto &[key, work] : this->state.waiting->totals(from, to)) {
        tokens[key] = work.promptTokens;
    }
    return WorkspaceShares::isOverShare(tokens, WaitingKeys::ofWorkspace(this->service, this->workspace));
}

void WaitOrder::count(const char *metric) const
{
    this->state.metrics.count(metric,
                              {{"service", this->service}, {"priority", std::to_string(this->urgency.priority())}});
}

}
