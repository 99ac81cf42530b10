#include "reachmonitor.h"

#include "asioutil.h"
#include "routerstate.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Cyclamen
{

ReachMonitor::ReachMonitor(RouterState &state)
    : state(state)
{
    this->state.onUnreachable = [this](const std::string &service) { this->check(service); };
}

boost::asio::awaitable<void> ReachMonitor::run()
{
    while (true) {
        co_await sleepFor(CheckPeriod);
        for (const std::string &service : this->state.reach.services(Clock::now())) {
            if (this->state.mayBeCutOff(service)) {
                this->check(service);
            }
        }
    }
}

void ReachMonitor::check(const std::string &service)
{
    const TimePoint now = Clock::now();
    TimePoint &last = this->lastChecks[service];
    if (now - last < CheckPeriod) {
        return;
    }
    last = now;
    std::vector<BackendServer> servers = this->state.serversOf(service);
    const std::string lastReached = this->state.reach.lastReached(service);
    for (std::size_t i = 0; i < ServersAtOnce && !servers.empty(); ++i) {
        const auto preferred =
            std::find_if(servers.begin(), servers.end(),
                         [&lastReached](const BackendServer &server) { return server.id == lastReached; });
        const std::size_t random = std::size_t(this->state.random() * double(servers.size())) % servers.size();
        std::swap(preferred != servers.end() ? *preferred : servers[random], servers.back());
        boost::asio::co_spawn(this->state.executor, this->connect(std::move(servers.back())), boost::asio::detached);
        servers.pop_back();
    }
}

boost::asio::awaitable<void> ReachMonitor::connect(BackendServer server)
{
    const ConnectionStatus status = co_await this->state.connections.probe(server.address, ConnectTimeout);
    this->state.recordReach(server, status == ConnectionStatus::Ok);
}

}
