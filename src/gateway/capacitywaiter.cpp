#include "capacitywaiter.h"

#include "asioutil.h"
#include "routerstate.h"
#include "waitorder.h"

namespace Cyclamen
{

CapacityWaiter::CapacityWaiter(RouterState &state, std::string service, const CapacityWait &wait, bool endsWithStop,
                               std::unique_ptr<WaitOrder> order)
    : state(state)
    , service(std::move(service))
    , wait(wait)
    , endsWithStop(endsWithStop)
    , placeInOrder(std::move(order))
{
}

CapacityWaiter::~CapacityWaiter() = default;

CapacityWait::Action CapacityWaiter::nextAction()
{
    const TimePoint now = Clock::now();
    const bool isStopped =
        this->endsWithStop && this->state.stopSchedule && now >= this->state.stopSchedule->refuseAt();
    if (this->placeInOrder) {
        const CapacityWait::Others others = this->placeInOrder->others(this->reservation != nullptr, now);
        const auto lastAction =
            this->wait.isBehind(now, others) ? CapacityWait::Action::GiveUp : CapacityWait::Action::TryLast;
        const CapacityWait::Action action = isStopped ? lastAction : this->wait.nextAction(now, others);
        this->placeInOrder->recordAction(action, others, now);
        return action;
    }
    if (isStopped) {
        return CapacityWait::Action::TryLast;
    }
    const bool othersOnTime = this->state.waiting->total(this->service).requests > (this->reservation ? 1 : 0);
    return this->wait.nextAction(now, othersOnTime);
}

boost::asio::awaitable<void> CapacityWaiter::pause()
{
    const TimePoint now = Clock::now();
    if (!this->wait.isOnTime(now)) {
        this->reservation = nullptr;
    } else if (!this->reservation) {
        this->reservation =
            std::make_unique<WorkReservation>(this->state.waiting, this->service, BackendWork{1, 0, {}});
    }
    if (this->placeInOrder) {
        this->placeInOrder->report(now);
        co_await this->placeInOrder->sleep(this->wait.retryDelay(now, this->state.random()));
        co_return;
    }
    co_await sleepFor(this->wait.retryDelay(now, this->state.random()));
}

WaitOrder *CapacityWaiter::order() const
{
    return this->placeInOrder.get();
}

}
