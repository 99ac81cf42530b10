#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace Cyclamen
{

/// Estimates how long a request has to wait for room behind more urgent ones, and how large the requests of a service
/// usually are, from the arrivals and the placements at this router. The routers of a group get like shares of the
/// requests, so a router's own rates stand for the others. Not thread-safe.
class RoomEstimator
{
public:
    /// Length of the sliding window: shorter than the usual bursts of 4 to 6 s, and long enough for some requests of a
    /// router that gets one or two a second.
    static constexpr Millis Window{2500};
    /// More urgent arrivals in the window below which nothing is estimated: their number scatters too much.
    static constexpr int MinArrivals = 5;
    /// Share of the room that is expected to be left by more urgent requests even if they arrive as fast as room
    /// becomes free: no burst lasts.
    static constexpr double MinRestShare = 0.125;

    /// Number of requests of a service from which on meanTokens() is known, and of the latest ones that it covers.
    static constexpr int MinSizes = 8;
    static constexpr int MeanLength = 50;

    /// Records the expected tokens of a new request.
    void recordSize(const std::string &service, std::int64_t tokens);
    /// Returns the mean expected tokens of the service's requests; 0 if too few are known.
    double meanTokens(const std::string &service) const;
    /// Records that a request with the given Urgency::waitClass() has begun to look for room.
    void recordArrival(const std::string &service, int waitClass, TimePoint now);
    /// Records that a request has found room.
    void recordPlacement(const std::string &service, TimePoint now);
    /// Returns the expected wait of a request of @p waitClass; zero if too little is known or nothing is ahead.
    /// @param ahead more urgent requests that wait at all routers of the group.
    /// @param routers number of routers in the group, this one included.
    Millis expectedWait(const std::string &service, int waitClass, std::int64_t ahead, std::size_t routers,
                        TimePoint now) const;

private:
    struct Record
    {
        std::deque<std::pair<TimePoint, int>> arrivals; ///< With their class.
        std::deque<TimePoint> placements;
        int sizes = 0; ///< Number of recorded sizes, up to MeanLength.
        double meanSize = 0;
    };
    std::map<std::string, Record> records;
};

}
