#include "streamoriginkeeper.h"

#include "fleetsync.h"
#include "routerstate.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// A report, and its repetition.
constexpr Millis ReportDelay{300};
// A write, the gathering of changes at the watcher of another group, and its report.
constexpr Millis StoreDelay{400};

}

StreamOriginKeeper::StreamOriginKeeper(RouterState &state, FleetSync &sync)
    : state(state)
    , sync(sync)
{
}

Millis StreamOriginKeeper::interval(std::size_t groups)
{
    return std::max(MinInterval, std::int64_t(groups) * IntervalPerGroup);
}

Millis StreamOriginKeeper::newsDelay(std::size_t groups)
{
    return groups <= 1 ? ReportDelay : ReportDelay + interval(groups) + StoreDelay;
}

boost::asio::awaitable<void> StreamOriginKeeper::run()
{
    while (!this->state.stopping) {
        co_await this->state.environment.sleep(interval(this->state.groupCount()));
        const TimePoint now = this->state.environment.now();
        this->state.streamOrigins.expire(now);
        if (!this->state.isDesignatedWatcher() || !this->state.serviceVersions.anyHasSeveral()) {
            continue;
        }
        const auto isNeeded = [this](const std::string &service) {
            return this->state.serviceVersions.hasSeveral(service);
        };
        const StreamOriginsByVersion origins =
            this->state.streamOrigins.unstored(isNeeded, std::int64_t(this->state.watcherRank()) * TakeoverDelay, now);
        if (!origins.empty() && co_await this->sync.writeStreamOrigins(origins)) {
            this->state.streamOrigins.markStored(origins);
        }
    }
}

}
