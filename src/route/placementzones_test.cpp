#include "cyclamencross/route/placement.h"

#include "cyclamencross/route/placementcandidate.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

// Share of the prompts that are later than 0.42 s, and of the prompt tokens whose KV cache crosses zones.
struct PromptOutcome
{
    double late = 0;
    double crossing = 0;
};

// Prompts of three zones with four prefill engines each. A transfer in the zone takes 0.3 times the processing of the
// prompt, one between zones twice as long.
PromptOutcome servePrompts(double load, bool preferZone)
{
    constexpr int Zones = 3;
    constexpr int EnginesPerZone = 4;
    constexpr int Prompts = 40000;
    constexpr double TransferShare = 0.3;
    constexpr double MillisPerToken = PlacementCandidate::DefaultMillisPerToken;
    constexpr double SmallestPrompt = 20;
    constexpr double LargestPrompt = 30000;
    std::mt19937 generator(20261206);
    std::uniform_real_distribution<double> uniform(0, 1);
    const double meanTokens = (LargestPrompt - SmallestPrompt) / std::log(LargestPrompt / SmallestPrompt);
    std::exponential_distribution<double> pause(load * Zones * EnginesPerZone / (meanTokens * MillisPerToken));
    std::vector<double> idleAt(Zones * EnginesPerZone);
    std::vector<PlacementCandidate> candidates(idleAt.size());
    double now = 0;
    double allTokens = 0;
    double crossingTokens = 0;
    int late = 0;
    for (int i = 0; i < Prompts; ++i) {
        now += pause(generator);
        const double tokens = SmallestPrompt * std::exp(uniform(generator) * std::log(LargestPrompt / SmallestPrompt));
        const int zone = int(uniform(generator) * Zones);
        for (std::size_t engine = 0; engine < candidates.size(); ++engine) {
            const double ahead = std::max(0.0, idleAt[engine] - now) / MillisPerToken;
            candidates[engine].work.promptTokens = std::int64_t(ahead);
            candidates[engine].sameZone = !preferZone || int(engine) / EnginesPerZone == zone;
        }
        const auto chosen = Placement::choosePrefill(candidates, tokens, [&] { return uniform(generator); }).value();
        const bool crosses = int(chosen) / EnginesPerZone != zone;
        idleAt[chosen] = std::max(now, idleAt[chosen]) + tokens * MillisPerToken;
        const double done = idleAt[chosen] + tokens * MillisPerToken * TransferShare * (crosses ? 2 : 1);
        late += done - now > 420 ? 1 : 0;
        allTokens += tokens;
        crossingTokens += crosses ? tokens : 0;
    }
    return PromptOutcome{double(late) / Prompts, crossingTokens / allTokens};
}

}

TEST_CASE("At high load, few KV caches cross zones, and no more prompts are late than without a preference")
{
    // Guards against prompts that go to another zone for the time of a few tokens (0.05: 32% of the bytes cross), and
    // against prompts that queue in their zone while engines of others are idle.
    const PromptOutcome preferred = servePrompts(0.85, true);
    const PromptOutcome indifferent = servePrompts(0.85, false);
    CHECK(preferred.crossing < 0.2);
    CHECK(indifferent.crossing > 0.6);
    CHECK(preferred.late <= indifferent.late);
}

TEST_CASE("A plain call leaves its zone only for a server that is emptier by a quarter of its slots")
{
    // Guards against calls that cross zones for servers that are hardly emptier, and against a queue in the own zone.
    std::vector<PlacementCandidate> candidates(2);
    candidates[0].server.slots = candidates[1].server.slots = 8;
    candidates[1].sameZone = false;
    candidates[1].work.requests = 2;
    const auto choose = [&candidates](std::int64_t requests) {
        candidates[0].work.requests = requests;
        return Placement::choosePlain(candidates, std::numeric_limits<double>::infinity(), [] { return 0.0; }).value();
    };
    CHECK(choose(2) == 0);
    CHECK(choose(3) == 0);
    CHECK(choose(5) == 1);
}
