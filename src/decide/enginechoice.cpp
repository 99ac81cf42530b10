#include "cyclamencross/decide/enginechoice.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Cyclamen
{

namespace
{

// A hint covers the first 256 bytes of a prompt, which are 64 tokens; more may be cached, but that is not known.
constexpr std::uint64_t HintedTokens = 64;
constexpr double MillisPerSecond = 1000;

// Returns the mean prefill speed of the engines whose speed is known, or 0.
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

// Returns at most MaxRanked of @p candidates, drawn at random, with @p always among them if it is a candidate.
std::vector<Backend> sample(const std::vector<Backend> &candidates, const std::string &always, std::mt19937_64 &random)
{
    if (candidates.size() <= MaxRanked) {
        return candidates;
    }
    std::vector<std::size_t> indices(candidates.size());
    std::iota(indices.begin(), indices.end(), std::size_t(0));
    std::vector<Backend> drawn;
    drawn.reserve(MaxRanked);
    const auto kept = std::find_if(candidates.begin(), candidates.end(),
                                   [&always](const Backend &other) { return other.address == always; });
    std::size_t first = 0;
    if (kept != candidates.end()) {
        std::swap(indices[0], indices[static_cast<std::size_t>(kept - candidates.begin())]);
        drawn.push_back(*kept);
        first = 1;
    }
    for (std::size_t i = first; i < MaxRanked; ++i) {
        std::swap(indices[i], indices[std::uniform_int_distribution<std::size_t>(i, indices.size() - 1)(random)]);
        drawn.push_back(candidates[indices[i]]);
    }
    return drawn;
}

std::vector<std::optional<EngineLoad>> lookUp(const std::vector<Backend> &candidates, const LoadLookup &load)
{
    std::vector<std::optional<EngineLoad>> loads;
    loads.reserve(candidates.size());
    for (const Backend &candidate : candidates) {
        loads.push_back(load(candidate.address));
    }
    return loads;
}

}

std::vector<RankedEngine> rankPrefill(const std::vector<Backend> &all, const LoadLookup &load,
                                      std::uint64_t promptTokens, const std::optional<std::string> &hintedEngine,
                                      std::mt19937_64 &random)
{
    const std::vector<Backend> candidates = sample(all, hintedEngine.value_or(""), random);
    const auto loads = lookUp(candidates, load);
    const double usualSpeed = meanSpeed(loads);
    std::vector<RankedEngine> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        RankedEngine engine{candidates[i], 0, 0, hintedEngine == candidates[i].address};
        const std::uint64_t cached = engine.prefixHit ? std::min(promptTokens, HintedTokens) : 0;
        const double speed = loads[i] && loads[i]->tokensPerSecond > 0 ? loads[i]->tokensPerSecond : usualSpeed;
        if (speed > 0) {
            // An engine of unknown load counts as idle: asking its owner is the only way to learn its load.
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

std::vector<RankedEngine> rankDecode(const std::vector<Backend> &all, const LoadLookup &load, const std::string &zone,
                                     std::mt19937_64 &random)
{
    struct Keyed
    {
        std::uint32_t free = 0;
        bool near = false;
        RankedEngine engine;
    };
    const std::vector<Backend> candidates = sample(all, "", random);
    const auto loads = lookUp(candidates, load);
    std::uint32_t mostFree = 0;
    for (const auto &known : loads) {
        mostFree = std::max(mostFree, known && known->slots > known->held ? known->slots - known->held : 0);
    }
    std::vector<Keyed> keyed;
    keyed.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        // An engine of unknown load counts as the freest, so that its load is learned soon.
        std::uint32_t free = mostFree;
        if (loads[i]) {
            free = loads[i]->slots > loads[i]->held ? loads[i]->slots - loads[i]->held : 0;
        }
        keyed.push_back({free, candidates[i].zone == zone, {candidates[i], 0, 0, false}});
    }
    std::shuffle(keyed.begin(), keyed.end(), random);
    std::stable_sort(keyed.begin(), keyed.end(), [](const Keyed &a, const Keyed &b) {
        return a.free != b.free ? a.free > b.free : a.near && !b.near;
    });
    std::vector<RankedEngine> ranked;
    ranked.reserve(keyed.size());
    for (Keyed &entry : keyed) {
        ranked.push_back(std::move(entry.engine));
    }
    return ranked;
}

}
