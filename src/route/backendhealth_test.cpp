#include "cyclamencross/route/backendhealth.h"

#include "cyclamencross/route/placement.h"
#include "cyclamencross/route/placementcandidate.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr Millis StepTime{150};

std::string engineName(int number)
{
    std::string name = "e";
    name += std::to_string(number);
    return name;
}

// Plays streams at engines for 6 s and returns the number of requests that each engine gets in the last 3 s. A stream
// reports its pace at each step; new streams go to the engine that chooseDecode() selects and stay for 20 steps, those
// of a slow engine for longer in proportion.
std::map<std::string, int> playStreams(int engines, const std::map<std::string, double> &slowEngines)
{
    constexpr double MillisPerToken = 6;
    struct Stream
    {
        std::string engine;
        double stepsLeft = 20;
    };
    BackendHealth health;
    std::mt19937 generator(5);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<Stream> streams;
    std::map<std::string, int> placed;
    for (int step = 0; step < 40; ++step) {
        const TimePoint now = Start + step * StepTime;
        std::map<std::string, std::int64_t> use;
        for (Stream &stream : streams) {
            const auto slow = slowEngines.find(stream.engine);
            const double factor = slow == slowEngines.end() ? 1 : slow->second;
            health.addPaceSample(stream.engine, MillisPerToken * factor * (0.9 + 0.2 * uniform(generator)), now);
            stream.stepsLeft -= 1 / factor;
            use[stream.engine] += 5000;
        }
        std::erase_if(streams, [](const Stream &stream) { return stream.stepsLeft <= 0; });
        for (int i = 0; i < engines / 5; ++i) {
            std::vector<PlacementCandidate> candidates;
            for (int id = 0; id < engines; ++id) {
                PlacementCandidate candidate;
                candidate.server.id = engineName(id);
                candidate.work.kvCache = KvCacheForecast::constant(use[candidate.server.id]);
                candidate.slowness = health.slowness(candidate.server.id, now);
                candidates.push_back(candidate);
            }
            const auto choice = Placement::chooseDecode(candidates, KvCacheForecast::constant(5000), 60000,
                                                        [&] { return uniform(generator); });
            REQUIRE(choice.has_value());
            const std::string &id = candidates[*choice].server.id;
            streams.push_back(Stream{id});
            use[id] += 5000;
            placed[id] += step >= 20 ? 1 : 0;
        }
    }
    return placed;
}

int total(const std::map<std::string, int> &placed)
{
    int sum = 0;
    for (const auto &[id, count] : placed) {
        sum += count;
    }
    return sum;
}

}

TEST_CASE("A slow engine gets less work in proportion, however many engines there are")
{
    // Guards against drafts that hang at an engine which its health check and its load show as sound.
    for (const int engines : {20, 240}) {
        auto placed = playStreams(engines, {{"e3", 4}});
        const double average = double(total(placed)) / engines;
        CHECK(placed["e3"] < 0.6 * average);
    }
}

TEST_CASE("When all engines are slow alike, none of them counts as slow")
{
    std::map<std::string, double> all;
    for (int id = 0; id < 20; ++id) {
        all[engineName(id)] = 4;
    }
    auto placed = playStreams(20, all);
    const double average = double(total(placed)) / 20;
    for (const auto &[id, factor] : all) {
        CHECK(placed[id] > 0.4 * average);
    }
}

TEST_CASE("An engine that was slow gets work again after a while")
{
    // Guards against an engine that is never chosen again because there are no new samples of its pace.
    BackendHealth health;
    for (int i = 0; i < 30; ++i) {
        health.addPaceSample("fast", 5, Start);
    }
    for (int i = 0; i < 10; ++i) {
        health.addPaceSample("slow", 25, Start);
    }
    CHECK(health.slowness("slow", Start) > 3);
    CHECK(health.slowness("slow", Start + 3 * BackendHealth::SlownessHalfLife) < 1.6);
    CHECK(health.slowness("fast", Start) == Approx(1).margin(0.1));
    CHECK(health.slowness("unknown", Start) == 1);
}

TEST_CASE("The sample with which an engine becomes slow is reported")
{
    BackendHealth health;
    for (int i = 0; i < 50; ++i) {
        health.addPaceSample("a", 5, Start);
        CHECK_FALSE(health.addPaceSample("b", 5, Start));
    }
    int changes = 0;
    for (int i = 0; i < 10; ++i) {
        changes += health.addPaceSample("b", 30, Start) ? 1 : 0;
    }
    CHECK(changes == 1);
}
