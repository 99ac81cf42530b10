#include "cyclamencross/route/placement.h"

#include "cyclamencross/route/placementcandidate.h"

#include <algorithm>
#include <limits>

namespace Cyclamen::Placement
{

namespace
{

// The costs below are in units of load: 1 is a fully used backend server, or for prefill engines the time that a prompt
// of the request's size takes at the default speed.

// Cost of a decode engine in another availability zone: the load that it must save to be worth the transfer. Memory is
// what binds decode engines, so the own zone hardly goes before an emptier engine.
constexpr double CrossZoneCost = 0.05;
// The same for prefill engines. The KV cache of a prompt takes twice as long between zones, and its bytes grow with the
// prompt as the cost does. Simulated with transfers in the zone of 0.12 to 1 times the prompt's processing and loads of
// 0.35 to 0.85, 0.25 sends half the bytes between zones that 0.05 does, and no more prompts are late; from 0.5 on, more
// are late at high load.
constexpr double CrossZonePromptCost = 0.25;
// The same for servers of plain services. A call waits only once all slots are used, so the own zone's server may be
// fuller. Simulated with one server for each of four zones and loads up to 0.9, 0.25 halves the calls between zones
// without longer waits; with 0.4, calls wait longer at load 0.9.
constexpr double CrossZoneCallCost = 0.25;
// Cost of a failure rate of 1.
constexpr double FailureCost = 4;
// Cost of a backend server that has told another router to pause. It may still want requests of this router, so it is
// used if the others are fuller by this much.
constexpr double PeerPauseCost = 0.25;
// Largest random cost, added so that routers with the same data do not all choose the same one of equal candidates.
constexpr double MaxTieBreakCost = 0.02;

// Largest random cost of decode engines that several router groups share. Their work is known with some delay, in which
// many routers would choose the same engine.
constexpr double SharedTieBreakCost = 0.06;

// Part of a difference in slowdown that counts for a decode engine. A stream lasts several times longer than a figure
// holds, and its first events, for which the figure holds, matter most to its caller.
constexpr double DecodeSlowdownShare = 0.3;
// Load that the slowdown of a plain server multiplies at least: a call takes longer there even if no other is running.
constexpr double MinSlowedLoad = 0.5;
// Slowdown relative to the average from which it counts. All routers of a group know nearly the same figures, so if
// small differences counted, all would choose the same server, and its queue would be known only after the next
// reports.
constexpr double MinSlowdownCounted = 1.3;
// Weight of the usual pace in the average slowdown, in servers that tell theirs.
constexpr double UsualPaceWeight = 1;

// Returns the average slowdown of the candidates, weighted by what is known of them.
double averageSlowdown(const std::vector<PlacementCandidate> &candidates)
{
    double weight = UsualPaceWeight;
    double sum = UsualPaceWeight;
    for (const PlacementCandidate &candidate : candidates) {
        weight += candidate.toldSlowdown.trust;
        sum += candidate.toldSlowdown.trust * candidate.toldSlowdown.factor;
    }
    return sum / weight;
}

// Returns how much slower than the average each candidate is expected to be; 1 for those that differ little from it.
std::vector<double> relativeSlowdowns(const std::vector<PlacementCandidate> &candidates)
{
    const double average = averageSlowdown(candidates);
    std::vector<double> result;
    result.reserve(candidates.size());
    for (const PlacementCandidate &candidate : candidates) {
        const Slowdown &told = candidate.toldSlowdown;
        const double relative = 1 + told.trust * (told.factor / average - 1);
        result.push_back(relative < MinSlowdownCounted ? 1 : relative);
    }
    return result;
}

// Returns the index of the candidate with the lowest cost; an infinite cost excludes a candidate. Considers avoided
// candidates only if all are avoided, and candidates at their limit never.
// @param cost takes the index of a candidate.
template<typename Cost>
std::optional<std::size_t> lowestCostCandidate(const std::vector<PlacementCandidate> &candidates, const Cost &cost)
{
    const bool allAvoided = std::all_of(candidates.begin(), candidates.end(),
                                        [](const PlacementCandidate &candidate) { return candidate.avoided; });
    std::optional<std::size_t> best;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].atNamedLimit || (candidates[i].avoided && !allAvoided)) {
            continue;
        }
        const double candidateCost = cost(i);
        if (candidateCost < bestCost) {
            best = i;
            bestCost = candidateCost;
        }
    }
    return best;
}

double commonCost(const PlacementCandidate &candidate, double crossZoneCost, const std::function<double()> &random)
{
    return (candidate.sameZone ? 0 : crossZoneCost) + (candidate.isPausedForPeer ? PeerPauseCost : 0)
        + FailureCost * candidate.failureRate + MaxTieBreakCost * random();
}

}

std::vector<double> expectedSlowdowns(const std::vector<PlacementCandidate> &candidates)
{
    std::vector<double> result = relativeSlowdowns(candidates);
    const double average = averageSlowdown(candidates);
    for (double &slowdown : result) {
        slowdown *= average;
    }
    return result;
}

bool hasUsableCandidate(const std::vector<PlacementCandidate> &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [](const PlacementCandidate &candidate) { return !candidate.avoided; });
}

std::optional<std::size_t> choosePlain(const std::vector<PlacementCandidate> &candidates, double maxCallsPerSlot,
                                       const std::function<double()> &random)
{
    const std::vector<double> slowdowns = relativeSlowdowns(candidates);
    return lowestCostCandidate(candidates, [&](std::size_t index) {
        const PlacementCandidate &candidate = candidates[index];
        const int slots = std::max(1, candidate.server.slots);
        const double load = double(candidate.work.requests) / slots;
        // An estimate is good enough to compare candidates, but not to treat a backend server as full.
        const double knownLoad = candidate.workIsEstimated ? 0 : load;
        const double callsPerSlot = candidate.reportedCalls ? double(*candidate.reportedCalls) / slots : knownLoad;
        return callsPerSlot >= maxCallsPerSlot ? std::numeric_limits<double>::infinity()
                                               : load + (slowdowns[index] - 1) * std::max(load, MinSlowedLoad)
                + commonCost(candidate, CrossZoneCallCost, random);
    });
}

std::optional<std::size_t> choosePrefill(const std::vector<PlacementCandidate> &candidates, double tokens,
                                         const std::function<double()> &random)
{
    const std::vector<double> slowdowns = relativeSlowdowns(candidates);
    return lowestCostCandidate(candidates, [&](std::size_t index) {
        const PlacementCandidate &candidate = candidates[index];
        const double queuedPrompts = (double(candidate.work.promptTokens) + tokens) / std::max(1.0, tokens);
        return queuedPrompts * slowdowns[index] * candidate.expectedMillisPerToken()
            / PlacementCandidate::DefaultMillisPerToken
            + commonCost(candidate, CrossZonePromptCost, random);
    });
}

std::optional<std::size_t> chooseDecode(const std::vector<PlacementCandidate> &candidates,
                                        const KvCacheForecast &request, double capacity,
                                        const std::function<double()> &random)
{
    const std::vector<double> slowdowns = relativeSlowdowns(candidates);
    return lowestCostCandidate(candidates, [&](std::size_t index) {
        const PlacementCandidate &candidate = candidates[index];
        const auto peak = double(candidate.work.kvCache.peakWith(request));
        // A request larger than the whole KV cache of an engine is placed only on an empty engine.
        const double limit =
            std::max(double(request.peak()), capacity * (candidate.isShared ? MaxSharedForecastShare : 1));
        if (capacity > 0 && (candidate.reservationRefused || peak > limit)) {
            return std::numeric_limits<double>::infinity();
        }
        // A slow engine counts as fuller in proportion, so it gets less work but never none. What the routers measure
        // and what the engine tells may have the same cause, so only the larger one counts.
        const double slowdown = std::max(candidate.slowness, 1 + DecodeSlowdownShare * (slowdowns[index] - 1));
        const double load = slowdown
            * (capacity > 0 ? peak / capacity : double(candidate.work.requests) / std::max(1, candidate.server.slots));
        const double spread = candidate.isShared ? SharedTieBreakCost * random() : 0;
        return load + spread + commonCost(candidate, CrossZoneCost, random);
    });
}

}
