#include "cyclamencross/route/placement.h"

#include "cyclamencross/route/placementcandidate.h"

#include <algorithm>
#include <limits>

namespace Cyclamen::Placement
{

namespace
{

// Load, in shares of a backend server, that a call to another availability zone must save to be worth its transfer.
constexpr double OtherZoneLoad = 0.05;
// Load that a failure rate of 1 counts as.
constexpr double FailureLoad = 4;
// Spread of equal candidates, so that routers with the same view do not choose the same one.
constexpr double TieSpread = 0.02;

template<typename Cost>
std::optional<std::size_t> cheapest(const std::vector<PlacementCandidate> &candidates, const Cost &cost)
{
    const bool allAvoided = std::all_of(candidates.begin(), candidates.end(),
                                        [](const PlacementCandidate &candidate) { return candidate.avoided; });
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].avoided && !allAvoided) {
            continue;
        }
        const double itsCost = cost(candidates[i]);
        if (itsCost < bestCost) {
            best = i;
            bestCost = itsCost;
        }
    }
    return best;
}

double commonCost(const PlacementCandidate &candidate, const std::function<double()> &random)
{
    return (candidate.sameZone ? 0 : OtherZoneLoad) + FailureLoad * candidate.failureRate + TieSpread * random();
}

}

std::optional<std::size_t> choosePlain(const std::vector<PlacementCandidate> &candidates, double mostLoad,
                                       const std::function<double()> &random)
{
    return cheapest(candidates, [&random, mostLoad](const PlacementCandidate &candidate) {
        const int slots = std::max(1, candidate.server.slots);
        const double load = double(candidate.work.requests) / slots;
        // A mere estimate tells where there is less, but not that there is no room.
        const double known = candidate.estimated ? 0 : load;
        const double fill = candidate.callsThere ? double(*candidate.callsThere) / slots : known;
        return fill >= mostLoad ? std::numeric_limits<double>::infinity() : load + commonCost(candidate, random);
    });
}

std::optional<std::size_t> choosePrefill(const std::vector<PlacementCandidate> &candidates, double tokens,
                                         const std::function<double()> &random)
{
    return cheapest(candidates, [&](const PlacementCandidate &candidate) {
        const double prompts = (double(candidate.work.promptTokens) + tokens) / std::max(1.0, tokens);
        return prompts * candidate.expectedPace() / PlacementCandidate::UnknownPace + commonCost(candidate, random);
    });
}

std::optional<std::size_t> chooseDecode(const std::vector<PlacementCandidate> &candidates, double tokens,
                                        double capacity, const std::function<double()> &random)
{
    const double room = tokens >= capacity ? tokens : capacity;
    return cheapest(candidates, [&](const PlacementCandidate &candidate) {
        if (capacity > 0 && (candidate.full || double(candidate.work.memoryTokens) + tokens > room)) {
            return std::numeric_limits<double>::infinity();
        }
        const double load = capacity > 0 ? (double(candidate.work.memoryTokens) + tokens) / capacity
                                         : double(candidate.work.requests) / std::max(1, candidate.server.slots);
        return load + commonCost(candidate, random);
    });
}

}
