#include "roomwaiter.h"

#include "awaiting.h"
#include "routerstate.h"

namespace Cyclamen
{

RoomWaiter::RoomWaiter(RouterState &state, std::string service, const RoomWait &wait)
    : state(state)
    , service(std::move(service))
    , wait(wait)
{
}

RoomWait::Turn RoomWaiter::turn() const
{
    const bool othersOnTime = this->state.waiting->total(this->service).requests > (this->reservation ? 1 : 0);
    return this->wait.turn(Clock::now(), othersOnTime);
}

boost::asio::awaitable<void> RoomWaiter::pause()
{
    const TimePoint now = Clock::now();
    if (!this->wait.isOnTime(now)) {
        this->reservation = nullptr;
    } else if (!this->reservation) {
        this->reservation = std::make_unique<WorkReservation>(this->state.waiting, this->service, BackendWork{1, 0, 0});
    }
    co_await sleepFor(this->wait.pause(now, this->state.random()));
}

}
