// The part of RequestHandler that gives a request its place in the order of urgency of its service.

#include "httpsession.h"
#include "requesthandler.h"
#include "routerstate.h"
#include "waitorder.h"
#include "workreservation.h"

#include "cyclamencross/route/capacitywait.h"
#include "cyclamencross/route/waitingkeys.h"

#include <iterator>

namespace Cyclamen
{

namespace
{

// Part of the retry budget that the least urgent requests leave to the others.
constexpr double UrgentRetryShare = 0.5;

}

std::unique_ptr<WaitOrder> RequestHandler::makeWaitOrder(const CapacityWait &wait, std::int64_t tokens)
{
    if (!this->table->hasOrder(this->service)) {
        return nullptr;
    }
    Urgency urgency(this->priority(), wait.onTimeEnd(), tokens);
    const bool isFirst = !this->urgencyDraws;
    if (isFirst) {
        this->urgencyDraws = {this->state.random(), this->state.random()};
        this->state.roomEstimator.recordSize(this->service, tokens);
    }
    urgency = urgency.withTurn(*this->table->priorities(this->service).begin(),
                               this->state.roomEstimator.meanTokens(this->service), this->urgencyDraws->first);
    if (this->session.isResponseStarted()) {
        urgency = urgency.asBegun();
    }
    return std::make_unique<WaitOrder>(this->state, this->service, this->request.id,
                                       this->workspace != nullptr ? this->workspace->name : std::string(), urgency,
                                       this->urgencyDraws->second);
}

void RequestHandler::recordRoom(WaitOrder *order, std::int64_t tokens)
{
    if (order == nullptr) {
        return;
    }
    order->recordRoom(Clock::now());
    if (this->workspace != nullptr && this->table->workspaces().size() > 1) {
        this->shareReservation = nullptr; // Of an earlier attempt.
        this->shareReservation = std::make_unique<WorkReservation>(
            this->state.waiting, WaitingKeys::ofWorkspace(this->service, this->workspace->name),
            BackendWork{1, tokens, {}});
    }
}

void RequestHandler::recordNoRoom(const WaitOrder *order)
{
    if (order == nullptr) {
        return;
    }
    this->waitBehindUrgent = order->earlyRefusal();
    this->state.metrics.count("cyclamencross_urgency_refused_total",
                              {{"service", this->service},
                               {"priority", std::to_string(this->priority())},
                               {"cause", this->waitBehindUrgent ? "behind-urgent" : "no-room"}});
}

double RequestHandler::retryShare() const
{
    const std::set<int> &priorities = this->table->priorities(this->service);
    if (priorities.size() < 2 || this->session.isResponseStarted()) {
        return 1;
    }
    const auto moreUrgent = std::distance(priorities.begin(), priorities.lower_bound(this->priority()));
    return 1 - UrgentRetryShare * double(moreUrgent) / double(priorities.size() - 1);
}

}
