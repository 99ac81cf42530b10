#include "linkpool.h"

#include "cyclamencross/gateway/httplink.h"

#include <algorithm>

namespace Cyclamen
{

LinkPool::LinkPool(boost::asio::any_io_executor executor)
    : executor(std::move(executor))
{
}

std::shared_ptr<HttpLink> LinkPool::takeIdle(const std::string &key)
{
    const auto it = this->idle.find(key);
    while (it != this->idle.end() && !it->second.empty()) {
        // The newest is the least likely to have been closed by the server.
        const IdleLink candidate = it->second.back();
        it->second.pop_back();
        if (candidate.until > Clock::now() && candidate.link->endIdleWatch()) {
            return candidate.link;
        }
        candidate.link->close();
    }
    return nullptr;
}

boost::asio::awaitable<std::shared_ptr<HttpLink>> LinkPool::open(std::string address, Millis timeout)
{
    auto link = std::make_shared<HttpLink>(this->executor, std::move(address));
    const bool isOpen = co_await link->connect(timeout);
    if (!isOpen) {
        link = nullptr;
    }
    co_return link;
}

void LinkPool::giveBack(const std::string &key, const std::shared_ptr<HttpLink> &link)
{
    const Millis kept = link->isReusable() ? link->keepAlive() : Millis(0);
    const Millis idleTime =
        kept > Millis(0) ? std::min(kept, DefaultIdleTime + IdleMargin) - IdleMargin : DefaultIdleTime;
    std::deque<IdleLink> &links = this->idle[key];
    if (!link->isReusable() || links.size() >= MaxIdlePerBackend || idleTime <= Millis(0)) {
        link->close();
        return;
    }
    links.push_back(IdleLink{link, Clock::now() + idleTime});
    // A closed link stays in the list until takeIdle() or expire() meets it.
    link->watchIdle();
}

void LinkPool::expire(TimePoint now)
{
    for (auto &[key, links] : this->idle) {
        std::erase_if(links, [now](const IdleLink &idleLink) {
            if (idleLink.until > now) {
                return false;
            }
            idleLink.link->close();
            return true;
        });
    }
    std::erase_if(this->idle, [](const auto &item) { return item.second.empty(); });
}

}
