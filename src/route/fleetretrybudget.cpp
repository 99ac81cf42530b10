#include "cyclamencross/route/fleetretrybudget.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// Removes the times before @p start from the front of @p times, which is in ascending order.
void removeBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() < start) {
        times.pop_front();
    }
}

}

FleetRetryBudget::FleetRetryBudget(double ratio, double slack, Millis window)
    : ratio(ratio)
    , slack(slack)
    , windowLength(window)
{
}

void FleetRetryBudget::addRequest(const std::string &service, TimePoint now)
{
    Window &window = this->windows[service];
    window.requests.push_back(now);
    removeBefore(window.requests, now - this->windowLength);
}

bool FleetRetryBudget::takeRetry(const std::string &service, std::size_t routers, TimePoint now, double share)
{
    Window &window = this->windows[service];
    removeBefore(window.requests, now - this->windowLength);
    removeBefore(window.retries, now - this->windowLength);
    const double allowed = share * SafetyFactor
        * (this->ratio * double(window.requests.size()) + this->slack / double(std::max<std::size_t>(routers, 1)));
    if (double(window.retries.size() + 1) > allowed) {
        return false;
    }
    window.retries.push_back(now);
    return true;
}

}
