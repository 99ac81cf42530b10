#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

class KvCacheForecast;
struct PlacementCandidate;

/// Selects the backend server for a request. The functions are pure: load, health and randomness are passed in. None of
/// them selects a backend server at its named limit.
namespace Placement
{

/// Calls that may be queued at a backend server of a plain service for each call that it can run. At 1, a queued call
/// waits for about the duration of one call; longer queues make all calls of a burst late.
constexpr double MaxQueuedCallsPerSlot = 1;

/// Share of the KV cache that the expected peak may take at an engine that several groups of routers share. The rest is
/// for requests that other groups have placed there but not reported yet.
constexpr double MaxSharedForecastShare = 0.85;

/// Returns the expected slowdown of each candidate's machine, from what it tells. Candidates of which nothing is known
/// count as the average of the others, so that they do not attract all work while others are slow. 1 for all candidates
/// if none tells anything.
std::vector<double> expectedSlowdowns(const std::vector<PlacementCandidate> &candidates);
/// Returns whether any candidate can take requests now or once it has capacity again. Only without one should a router
/// use the engines of other groups: it does not know their load, and in bursts it would overload engines whose own
/// routers have no way of knowing it.
bool hasUsableCandidate(const std::vector<PlacementCandidate> &candidates);
/// Chooses the backend server of a plain service with the lowest load per slot. One that tells that its machine is
/// slower than that of the others counts as fuller.
/// @param maxCallsPerSlot number of calls per slot from which a backend server counts as full and is left out. The
/// number of calls that the backend server itself reported takes precedence over the number that the routers have
/// placed.
/// @param random returns a number from 0 to 1. Breaks ties, so that routers with the same data do not all choose the
/// same backend server.
/// @return the index into @p candidates, or nothing if no candidate can take the request.
std::optional<std::size_t> choosePlain(const std::vector<PlacementCandidate> &candidates, double maxCallsPerSlot,
                                       const std::function<double()> &random);
/// Chooses the engine that is expected to finish the prefill first.
/// @param tokens prompt tokens of the request.
/// @return the index into @p candidates, or nothing if there are none.
std::optional<std::size_t> choosePrefill(const std::vector<PlacementCandidate> &candidates, double tokens,
                                         const std::function<double()> &random);
/// Chooses the decode engine whose KV cache will be least full at its expected peak. Engines whose expected peak
/// exceeds the capacity are left out: a request that does not fit preempts others or is rejected after its prefill.
/// This matters in bursts that exceed the capacity of the decode engines.
/// @param request KV cache that the request is expected to need over time.
/// @param capacity KV cache of an engine in tokens; 0 if not known.
/// @return the index into @p candidates, or nothing if no engine has enough space.
std::optional<std::size_t> chooseDecode(const std::vector<PlacementCandidate> &candidates,
                                        const KvCacheForecast &request, double capacity,
                                        const std::function<double()> &random);

}

}
