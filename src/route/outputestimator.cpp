#include "cyclamencross/route/outputestimator.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

namespace
{

// Number of samples that the moving averages cover.
constexpr int AverageLength = 40;
// Smallest variance of a logarithm that is assumed, so that a few equal samples do not count as certain.
constexpr double MinLogVariance = 0.01;

}

void OutputEstimator::Average::add(double value)
{
    this->count = std::min(this->count + 1, AverageLength);
    const double weight = 1.0 / this->count;
    const double difference = value - this->mean;
    this->mean += weight * difference;
    this->variance = (1 - weight) * (this->variance + weight * difference * difference);
}

void OutputEstimator::record(const StreamSample &sample)
{
    if (sample.events <= 0 || sample.expectedTokens <= 0 || sample.millisPerEvent <= 0) {
        return;
    }
    ServiceRecord &service = this->services[sample.service];
    service.logTokensPerEvent.add(std::log(double(sample.expectedTokens) / double(sample.events)));
    service.millisPerEvent.add(sample.millisPerEvent);
    this->logEventsByRoute[sample.route].add(std::log(double(sample.events)));
}

OutputEstimate OutputEstimator::estimate(const std::string &route, const std::string &service,
                                         std::int64_t expectedTokens, std::int64_t maxTokens) const
{
    const auto limited = [maxTokens](std::int64_t tokens) {
        return maxTokens > 0 ? std::min(tokens, maxTokens) : tokens;
    };
    OutputEstimate result;
    result.tokens = expectedTokens > 0 ? limited(expectedTokens) : maxTokens;
    const auto serviceRecord = this->services.find(service);
    if (serviceRecord == this->services.end() || serviceRecord->second.logTokensPerEvent.count < MinSamples) {
        return result;
    }
    const Average &perEvent = serviceRecord->second.logTokensPerEvent;
    result.tokensPerEvent = std::exp(perEvent.mean);
    result.millisPerToken = serviceRecord->second.millisPerEvent.mean / result.tokensPerEvent;
    const auto events = this->logEventsByRoute.find(route);
    if (events == this->logEventsByRoute.end() || events->second.count < MinSamples) {
        return result;
    }
    const double usual = events->second.mean + perEvent.mean;
    const double usualVariance = std::max(events->second.variance, MinLogVariance);
    const double callerVariance = std::max(perEvent.variance, MinLogVariance);
    double logTokens = usual;
    double variance = usualVariance;
    if (expectedTokens > 0) {
        logTokens = (usual * callerVariance + std::log(double(expectedTokens)) * usualVariance)
            / (usualVariance + callerVariance);
        variance = usualVariance * callerVariance / (usualVariance + callerVariance);
    }
    // Mean of a log-normal distribution.
    result.tokens = limited(std::int64_t(std::exp(logTokens + variance / 2)));
    return result;
}

}
