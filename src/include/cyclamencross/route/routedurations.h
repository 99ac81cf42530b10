#pragma once

#include "cyclamencross/base/timing.h"

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Cyclamen
{

struct StreamSample;

/// Remembers how long the latest requests of each route took, whatever their callers had announced. Used from one
/// thread.
class RouteDurations
{
public:
    /// Number of requests that are remembered for each route.
    static constexpr std::size_t Count = 64;
    /// Number of requests of a route from which the longest of them says something about the next ones.
    static constexpr std::size_t MinCount = 20;

    /// Records a completed stream, with the time from its first to its last event.
    void record(const StreamSample &sample);
    /// Records a completed plain request.
    /// @param duration time from its call to the end of the answer to its caller.
    void record(const std::string &route, Millis duration);
    /// Returns the longest duration among the remembered requests of @p route; std::nullopt if there are less than
    /// MinCount.
    std::optional<Millis> longest(const std::string &route) const;

private:
    struct Record
    {
        std::array<Millis, Count> durations{};
        std::size_t recorded = 0; ///< Number of requests ever recorded; the oldest ones are overwritten.
    };
    std::map<std::string, Record> routes;
};

}
