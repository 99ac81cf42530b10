#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace Cyclamen
{

/// The retry budget of this router for each service: its share of the retries that the whole fleet may make in a
/// sliding window. The routers need no coordination: each one may retry a fraction of its own requests and gets an even
/// part of the fixed number of extra retries. Not thread-safe.
class FleetRetryBudget
{
public:
    /// Fraction of the allowed retries that is used. The rest allows for requests that the routers and an observer of
    /// the limit count at different times, and for routers that are not known yet.
    static constexpr double SafetyFactor = 0.7;

    /// @param ratio retries allowed for each request in the window.
    /// @param slack extra retries allowed in the window, for the whole fleet.
    /// @param window length of the sliding window.
    FleetRetryBudget(double ratio, double slack, Millis window);

    /// Counts a request, which adds to the retries that are allowed.
    void addRequest(const std::string &service, TimePoint now);
    /// Takes one retry from the budget if it is not used up.
    /// @param routers number of routers that share the extra retries.
    /// @param share part of the budget that the request may use up; the rest is kept for more urgent ones.
    /// @return whether the retry is allowed.
    bool takeRetry(const std::string &service, std::size_t routers, TimePoint now, double share = 1);

private:
    struct Window
    {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };
    double ratio;
    double slack;
    Millis windowLength;
    std::map<std::string, Window> windows;
};

}
