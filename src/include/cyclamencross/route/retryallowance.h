#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Cyclamen
{

/// This router's share of the retries that the whole fleet may make to a service in a sliding window. The shares need
/// no coordination: each router adds a part of its own requests and an even part of the fixed allowance. Not
/// thread-safe.
class RetryAllowance
{
public:
    /// Share of the bound that is used. The rest covers requests counted at different moments by routers and by whoever
    /// checks the bound, and routers that are not yet known.
    static constexpr double UsedShare = 0.7;

    /// @param ratio retries allowed for each request in the window.
    /// @param slack retries allowed besides, for the whole fleet.
    RetryAllowance(double ratio, double slack, Millis window);

    void addRequest(const std::string &service, TimePoint now);
    /// Takes one retry.
    /// @param routers number of routers that share the slack.
    /// @return whether the retry is allowed.
    bool takeRetry(const std::string &service, std::size_t routers, TimePoint now);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };
    double ratio;
    double slack;
    Millis length;
    std::map<std::string, Window> windows;
};

}
