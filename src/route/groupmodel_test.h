#pragma once

#include "cyclamencross/base/timing.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Deterministic model of one group of routers and the decode engines that it shares: requests of several kinds look
/// for room, hold it for the length of a stream, and return once if they were refused. The orders of waiting requests
/// are the ones of CapacityWait, UrgencyQueue, RoomEstimator and WorkspaceShares; peers' reports are 150 ms old at
/// most.
struct GroupModel
{
    struct Kind
    {
        int priority = 0;
        Millis target{0};
        double perSecond = 0; ///< Arrivals at the whole group outside of bursts.
        double burst = 1; ///< Factor on the arrivals during the burst.
        std::string workspace = "w0";
    };
    /// What became of the requests of a kind that arrived during the burst.
    struct Result
    {
        int arrived = 0;
        int onTime = 0;
        int late = 0;
        int large = 0; ///< Requests of the largest size.
        int largeServed = 0;
        std::int64_t waitedMillis = 0; ///< Of all requests that were refused, until the refusal.
        int refusals = 0;

        double served() const
        {
            return double(this->onTime + this->late) / std::max(1, this->arrived);
        }
        /// Share of the value: a late answer is worth a fifth.
        double value() const
        {
            return (this->onTime + 0.2 * this->late) / std::max(1, this->arrived);
        }
        Result &operator+=(const Result &other);
    };

    std::vector<Kind> kinds;
    bool ordered = true; ///< Otherwise requests poll at random, as without distinct priorities.
    bool lasting = false; ///< The burst lasts for the whole run.
    int engines = 12;
    int lostEngines = 0; ///< At the begin of the burst.
    int routers = 23;
    unsigned seed = 1;

    /// Returns the results by index of the kind.
    std::vector<Result> run() const;
};

/// Returns the sum of results.
GroupModel::Result sumOf(const std::vector<GroupModel::Result> &results);

}
