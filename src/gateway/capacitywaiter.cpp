#include "capacitywaiter.h"

#include "asioutil.h"
#include "routerstate.h"

namespace Cyclamen
{

CapacityWaiter::CapacityWaiter(RouterState &state, std::string service, const CapacityWait &wait, bool endsWithStop)
    : state(state)
    , service(std::move(service))
    , wait(wait)
    , endsWithStop(endsWithStop)
{
}

CapacityWait::Action CapacityWaiter::nextAction() const
{
    const TimePoint now = Clock::now();
    if (this->endsWithStop && this->state.stopSchedule && now >= this->state.stopSchedule->refuseAt()) {
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
    co_await sleepFor(this->wait.retryDelay(now, this->state.random()));
}

}
