#include "cyclamencross/decide/enginechoice.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Cyclamen
{

namespace
{

// A prefix hint covers the first 256 bytes of a prompt, which are 64 tokens. More may be cached, but that is not known.
constexpr std::uint64_t HintedTokens = 64;
constexpr double MillisPerSecond = 1000;

// Returns the mean prefill speed, in tokens per second, of the engines whose speed is known, or 0 if there are none.
double meanSpeed(const std::vector<std::optional<EngineLoad>> &loads)
{
    double sum = 0;
    int known = 0;
    for (const auto &load : loads) {
        if (load && load->tokensPerSecond > 0) {
            sum += load->tokensPerSecond;
            ++known;
        }
    }
    return known > 0 ? sum / known : 0;
}

// Returns a random sample of at most MaxRankedCandidates candidates, including the one at requiredAddress if it exists.
std::vector<Backend> sampleCandidates(const std::vector<Backend> &candidates, const std::string &requiredAddress,
                                      std::mt19937_64 &random)
{
    if (candidates.size() <= MaxRankedCandidates) {
        return candidates;
    }
    std::vector<std::size_t> indices(candidates.size());
    std::iota(indices.begin(), indices.end(), std::size_t(0));
    std::vector<Backend> drawn;
    drawn.reserve(MaxRankedCandidates);
    const auto required = std::find_if(candidates.begin(), candidates.end(), [&requiredAddress](const Backend &other) {
        return other.address == requiredAddress;
    });
    std::size_t first = 0;
    if (required != candidates.end()) {
        std::swap(indices[0], indices[static_cast<std::size_t>(required - candidates.begin())]);
        drawn.push_back(*required);
        first = 1;
    }
    for (std::size_t i = first; i < MaxRankedCandidates; ++i) {
        std::swap(indices[i], indices[std::uniform_int_distribution<std::size_t>(i, indices.size() - 1)(random)]);
        drawn.push_back(candidates[indices[i]]);
    }
    return drawn;
}

std::vector<std::optional<EngineLoad>> lookUpLoads(const std::vector<Backend> &candidates, const LoadLookup &load)
{
    std::vector<std::optional<EngineLoad>> loads;
    loads.reserve(candidates.size());
    for (const Backend &candidate : candidates) {
        loads.push_back(load(candidate.address));
    }
    return loads;
}

}

std::vector<RankedEngine> rankPrefill(const std::vector<Backend> &allCandidates, const LoadLookup &load,
                                      std::uint64_t promptTokens, const std::optional<std::string> &hintedEngine,
                                      std::mt19937_64 &random)
{
    const std::vector<Backend> candidates = sampleCandidates(allCandidates, hintedEngine.value_or(""), random);
    const auto loads = lookUpLoads(candidates, load);
    const double defaultSpeed = meanSpeed(loads);
    std::vector<RankedEngine> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        RankedEngine engine{candidates[i], 0, 0, hintedEngine == candidates[i].address};
        const std::uint64_t cached = engine.prefixHit ? std::min(promptTokens, HintedTokens) : 0;
        const double speed = loads[i] && loads[i]->tokensPerSecond > 0 ? loads[i]->tokensPerSecond : defaultSpeed;
        if (speed > 0) {
            // An engine with unknown load counts as idle: only a slot request to its owner can show its load.
            const double queued = loads[i] ? static_cast<double>(loads[i]->queuedTokens) : 0;
            engine.expectedWaitMs = queued / speed * MillisPerSecond;
            engine.costMs = static_cast<double>(promptTokens - cached) / speed * MillisPerSecond;
        }
        ranked.push_back(std::move(engine));
    }
    std::shuffle(ranked.begin(), ranked.end(), random);
    std::stable_sort(ranked.begin(), ranked.end(), [](const RankedEngine &a, const RankedEngine &b) {
        return a.expectedWaitMs + a.costMs < b.expectedWaitMs + b.costMs;
    });
    return ranked;
}

std::vector<RankedEngine> rankDecode(const std::vector<Backend> &allCandidates, const LoadLookup &load,
                                     const std::string &zone, std::mt19937_64 &random)
{
    struct Candidate
    {
        std::uint32_t free = 0;
        bool sameZone = false;
        RankedEngine engine;
    };
    const std::vector<Backend> candidates = sampleCandidates(allCandidates, "", random);
    const auto loads = lookUpLoads(candidates, load);
    std::uint32_t mostFree = 0;
    for (const auto &known : loads) {
        mostFree = std::max(mostFree, known && known->slots > known->held ? known->slots - known->held : 0);
    }
    std::vector<Candidate> ranking;
    ranking.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // An engine with unknown load counts as having the most free slots, so that its load is learned soon.
        std::uint32_t free = mostFree;
        if (loads[i]) {
            free = loads[i]->slots > loads[i]->held ? loads[i]->slots - loads[i]->held : 0;
        }
        ranking.push_back({free, candidates[i].zone == zone, {candidates[i], 0, 0, false}});
    }
    std::shuffle(ranking.begin(), ranking.end(), random);
    std::stable_sort(ranking.begin(), ranking.end(), [](const Candidate &a, const Candidate &b) {
        return a.free != b.free ? a.free > b.free : a.sameZone && !b.sameZone;
    });
    std::vector<RankedEngine> ranked;
    ranked.reserve(ranking.size());
    for (Candidate &entry : ranking) {
        ranked.push_back(std::move(entry.engine));
    }
    return ranked;
}

}
