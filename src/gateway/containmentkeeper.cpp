#include "containmentkeeper.h"

#include "fleetsync.h"
#include "routerstate.h"

#include <algorithm>

namespace Cyclamen
{

ContainmentKeeper::ContainmentKeeper(RouterState &state, FleetSync &sync)
    : state(state)
    , sync(sync)
{
}

boost::asio::awaitable<void> ContainmentKeeper::run()
{
    while (!this->state.stopping) {
        co_await this->state.environment.sleep(Period);
        const TimePoint now = this->state.environment.now();
        if (!this->state.backendsKnown || !this->isDifferent()) {
            this->differentSince = std::nullopt;
            if (now - this->nextWrite > MaxWritePause) {
                this->writePause = WritePause;
            }
            continue;
        }
        this->differentSince = this->differentSince.value_or(now);
        if (now < this->nextWrite
            || now - *this->differentSince < SettleTime + this->state.writerRank() * TakeoverDelay) {
            continue;
        }
        co_await this->sync.writeContainments();
        this->nextWrite = this->state.environment.now() + this->writePause;
        this->writePause = std::min(MaxWritePause, this->writePause * 2);
    }
}

bool ContainmentKeeper::isDifferent() const
{
    const auto &own = this->state.crashes.containments();
    const auto &stored = this->state.storedContainments;
    // Routers may have begun with different periods. The longest one is stored.
    return !std::equal(own.begin(), own.end(), stored.begin(), stored.end(), [](const auto &a, const auto &b) {
        const TimePoint ownEnd = a.second.crashedAt + a.second.period;
        const TimePoint storedEnd = b.second.crashedAt + b.second.period;
        return a.first == b.first && ownEnd <= storedEnd + TimeTolerance;
    });
}

}
