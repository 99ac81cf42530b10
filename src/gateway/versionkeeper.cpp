#include "versionkeeper.h"

#include "fleetsync.h"
#include "routerstate.h"

namespace Cyclamen
{

VersionKeeper::VersionKeeper(RouterState &state, FleetSync &sync)
    : state(state)
    , sync(sync)
{
}

boost::asio::awaitable<void> VersionKeeper::run()
{
    while (!this->state.stopping) {
        co_await this->state.environment.sleep(Period);
        if (!this->state.backendsKnown) {
            continue;
        }
        const TimePoint now = this->state.environment.now();
        auto next = this->planner.next(this->state.serviceVersions, this->state.registeredVersions, now);
        if (!next && this->state.serviceVersionsUnwritten) {
            next = this->state.serviceVersions;
        }
        if (!next) {
            this->dueSince = std::nullopt;
            continue;
        }
        this->dueSince = this->dueSince.value_or(now);
        if (now < this->nextWrite || now - *this->dueSince < this->state.writerRank() * TakeoverDelay) {
            continue;
        }
        co_await this->sync.writeServiceVersions(*next);
        this->nextWrite = this->state.environment.now() + WritePause;
    }
}

}
