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

/// Remembers how long the latest streams of each route took, whatever their callers had announced. Used from one
/// thread.
class StreamDurations
{
public:
    /// Number of streams that are remembered for each route.
    static constexpr std::size_t Count = 64;
    /// Number of streams of a route from which the longest of them says something about the next ones.
    static constexpr std::size_t MinCount = 20;

    /// Records a completed stream.
    void record(const StreamSample &sample);
    /// Returns the longest time from the first to the last event among the remembered streams of @p route;
    /// std::nullopt if there are less than MinCount.
    std::optional<Millis> longest(const std::string &route) const;

private:
    struct Record
    {
        std::array<Millis, Count> durations{};
        std::size_t recorded = 0; ///< Number of streams ever recorded; the oldest ones are overwritten.
    };
    std::map<std::string, Record> routes;
};

}
