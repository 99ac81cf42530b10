#include "cyclamencross/route/kvcacheforecast.h"

#include <algorithm>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr std::int64_t Capacity = 75000;
constexpr double MillisPerToken = 0.9;

struct Stream
{
    std::int64_t prompt = 0;
    std::int64_t output = 0;
    int startMilli = 0;

    std::int64_t generatedAt(int milli) const
    {
        return std::int64_t(double(milli - this->startMilli) / MillisPerToken);
    }
    bool isDoneAt(int milli) const
    {
        return this->generatedAt(milli) > this->output;
    }
};

struct LoadResult
{
    int started = 0;
    std::int64_t largestUse = 0; ///< Largest number of tokens that was in the KV cache.
};

// Plays a queue of long streams that never empties at one engine for 30 s. A stream starts when its forecast fits.
// With usePace false, a stream counts with its final size for all of its time.
LoadResult playLoad(bool usePace)
{
    std::mt19937 generator(3);
    std::uniform_int_distribution<std::int64_t> prompt(2000, 8500);
    std::uniform_int_distribution<std::int64_t> output(800, 7000);
    std::vector<Stream> running;
    Stream next{prompt(generator), output(generator), 0};
    LoadResult result;
    for (int milli = 0; milli < 30000; milli += 10) {
        std::erase_if(running, [milli](const Stream &stream) { return stream.isDoneAt(milli); });
        KvCacheForecast forecast;
        std::int64_t use = 0;
        for (const Stream &stream : running) {
            const std::int64_t generated = stream.generatedAt(milli);
            use += stream.prompt + generated;
            forecast += KvCacheForecast::ofRequest(stream.prompt + generated, stream.output - generated,
                                                   usePace ? MillisPerToken : 0);
        }
        result.largestUse = std::max(result.largestUse, use);
        const auto wanted = KvCacheForecast::ofRequest(next.prompt, next.output, usePace ? MillisPerToken : 0);
        if (forecast.peakWith(wanted) <= Capacity) {
            next.startMilli = milli;
            running.push_back(next);
            ++result.started;
            next = Stream{prompt(generator), output(generator), milli};
        }
    }
    return result;
}

}

TEST_CASE("The forecast of a request grows until its end and is zero afterwards")
{
    const auto forecast = KvCacheForecast::ofRequest(1000, 1000, 1);
    const auto &tokens = forecast.tokens();
    CHECK(tokens[0] == 1125);
    CHECK(tokens[1] == 1375);
    CHECK(tokens[3] == 2000);
    CHECK(tokens[4] == 0);
    CHECK(forecast.peak() == 2000);
}

TEST_CASE("A request whose pace is not known counts with its final size")
{
    // Guards against an engine that is filled with streams whose growth the router cannot predict yet.
    CHECK(KvCacheForecast::ofRequest(1000, 500, 0) == KvCacheForecast::constant(1500));
}

TEST_CASE("Adding and removing the same work leaves the forecast unchanged")
{
    KvCacheForecast sum = KvCacheForecast::ofRequest(700, 900, 2);
    const KvCacheForecast before = sum;
    const KvCacheForecast other = KvCacheForecast::ofRequest(50, 4000, 1);
    sum += other;
    CHECK(sum.peak() == before.peakWith(other));
    sum -= other;
    CHECK(sum == before);
    sum *= 3;
    CHECK(sum.peak() == 3 * before.peak());
}

TEST_CASE("With the forecast, an engine serves more long streams at the same time and does not overflow")
{
    // Guards against reserving the final size of every stream for all of its time, which leaves a quarter of the KV
    // cache of an engine unused while callers are refused.
    const LoadResult finalSizes = playLoad(false);
    const LoadResult forecast = playLoad(true);
    CHECK(forecast.started >= finalSizes.started * 115 / 100);
    CHECK(finalSizes.largestUse <= Capacity);
    // Streams that end between two offsets are not seen at their largest size.
    CHECK(forecast.largestUse <= Capacity * 105 / 100);
}
