#include "cyclamencross/route/retryallowance.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

void dropBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() < start) {
        times.pop_front();
    }
}

}

RetryAllowance::RetryAllowance(double ratio, double slack, Millis window)
    : ratio(ratio)
    , slack(slack)
    , length(window)
{
}

void RetryAllowance::addRequest(const std::string &service, TimePoint now)
{
    Window &window = this->windows[service];
    window.requests.push_back(now);
    dropBefore(window.requests, now - this->length);
}

bool RetryAllowance::takeRetry(const std::string &service, std::size_t routers, TimePoint now)
{
    Window &window = this->windows[service];
    dropBefore(window.requests, now - this->length);
    dropBefore(window.retries, now - this->length);
    const double allowed = UsedShare
        * (this->ratio * double(window.requests.size()) + this->slack / double(std::max<std::size_t>(routers, 1)));
    if (double(window.retries.size() + 1) > allowed) {
        return false;
    }
    window.retries.push_back(now);
    return true;
}

}
