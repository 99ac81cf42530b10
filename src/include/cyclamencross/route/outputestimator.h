#pragma once

#include "cyclamencross/route/outputestimate.h"
#include "cyclamencross/route/streamsample.h"

#include <cstdint>
#include <map>
#include <string>

namespace Cyclamen
{

/// Estimates how many tokens a stream will generate and at which pace. The estimate of the caller is right at the
/// median but scatters widely, so it is combined with the usual output of the route, each weighted by how little it
/// scatters. Learns from completed streams, also from those of other routers. Not thread-safe.
class OutputEstimator
{
public:
    /// Number of completed streams from which the estimates start.
    static constexpr int MinSamples = 4;

    /// Learns from a completed stream. Samples without events or without the caller's estimate are ignored.
    void record(const StreamSample &sample);
    /// Estimates the output of a request.
    /// @param expectedTokens the caller's estimate; 0 if there is none, which leads to an estimate of @p maxTokens
    /// unless the route is known.
    /// @param maxTokens the caller's limit; 0 if there is none.
    OutputEstimate estimate(const std::string &route, const std::string &service, std::int64_t expectedTokens,
                            std::int64_t maxTokens) const;

private:
    /// Moving mean and variance, over all samples at first and over the last few dozen later.
    struct Average
    {
        int count = 0;
        double mean = 0;
        double variance = 0;

        void add(double value);
    };
    struct ServiceRecord
    {
        Average logTokensPerEvent; ///< Logarithm of the caller's estimate per event; its variance is that of estimates.
        Average millisPerEvent;
    };

    std::map<std::string, ServiceRecord> services;
    std::map<std::string, Average> logEventsByRoute;
};

}
