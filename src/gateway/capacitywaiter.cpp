#include "capacitywaiter.h"

#include "asioutil.h"
#include "routerstate.h"

namespace Cyclamen
{

CapacityWaiter::CapacityWaiter(RouterState &state, std::string service, const CapacityWait &wait)
    : state(state)
    , service(std::move(service))
    , wait(wait)
{
}

CapacityWait::Action CapacityWaiter::nextAction() const
{
    const bool othersOnTime = this->state.waiting->total(this->service).requests > (this->reservation ? 1 : 0);
    return this->wait.nextAction(Clock::now(), othersOnTime);
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
