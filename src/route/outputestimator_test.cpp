#include "cyclamencross/route/outputestimator.h"

#include <algorithm>
#include <cmath>
#include <random>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr double TokensPerEvent = 58;

// Generates streams whose length and whose estimate by the caller both scatter by a factor of about 1.6.
struct StreamSource
{
    std::mt19937 generator{7};
    std::normal_distribution<double> normal{0, 0.5};

    StreamSample next()
    {
        StreamSample sample{"route", "service", 0, 0, 50};
        sample.events = std::max<std::int64_t>(2, std::int64_t(60 * std::exp(this->normal(this->generator))));
        sample.expectedTokens =
            std::int64_t(double(sample.events) * TokensPerEvent * std::exp(this->normal(this->generator)));
        return sample;
    }
};

}

TEST_CASE("Before any stream has completed, the caller's estimate counts, up to its limit")
{
    const OutputEstimator estimator;
    CHECK(estimator.estimate("r", "s", 300, 1000) == OutputEstimate{300, 0, 0});
    CHECK(estimator.estimate("r", "s", 3000, 1000) == OutputEstimate{1000, 0, 0});
    CHECK(estimator.estimate("r", "s", 0, 1000) == OutputEstimate{1000, 0, 0});
}

TEST_CASE("Estimates from completed streams are closer to the real output than those of the callers")
{
    // Guards against engines that run out of memory because callers have underestimated their output.
    OutputEstimator estimator;
    StreamSource source;
    for (int i = 0; i < 60; ++i) {
        estimator.record(source.next());
    }
    double callerError = 0;
    double estimatorError = 0;
    for (int i = 0; i < 300; ++i) {
        const StreamSample sample = source.next();
        const double real = double(sample.events) * TokensPerEvent;
        const OutputEstimate estimate = estimator.estimate("route", "service", sample.expectedTokens, 0);
        callerError += std::abs(std::log(double(sample.expectedTokens) / real));
        estimatorError += std::abs(std::log(double(estimate.tokens) / real));
        CHECK(estimate.tokensPerEvent == Approx(TokensPerEvent).epsilon(0.25));
        CHECK(estimate.millisPerToken == Approx(50 / TokensPerEvent).epsilon(0.25));
    }
    CHECK(estimatorError < 0.85 * callerError);
}

TEST_CASE("Samples that say nothing about the output are ignored")
{
    OutputEstimator estimator;
    for (int i = 0; i < 2 * OutputEstimator::MinSamples; ++i) {
        estimator.record(StreamSample{"r", "s", 0, 10, 5});
        estimator.record(StreamSample{"r", "s", 10, 0, 5});
        estimator.record(StreamSample{"r", "s", 10, 10, 0});
    }
    CHECK(estimator.estimate("r", "s", 300, 1000) == OutputEstimate{300, 0, 0});
}
