#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

struct PlacementCandidate;

/// Chooses backend servers. Pure functions: load, health and randomness are passed in.
namespace Placement
{

/// Calls that may wait at a backend server of a plain service for each that runs there: the wait is about the time of
/// one call. Longer queues make all calls late in a burst.
constexpr double PlainQueueShare = 1;

/// Chooses the backend server of a plain service with the lowest load for each slot.
/// @param mostLoad calls for each slot from which a backend server counts as full and is left out. What the
/// backend server itself has told goes before what the routers have placed.
/// @param random returns a number from 0 to 1; breaks ties, so that routers with the same view spread.
/// @return the index into @p candidates, or nothing if there is none.
std::optional<std::size_t> choosePlain(const std::vector<PlacementCandidate> &candidates, double mostLoad,
                                       const std::function<double()> &random);
/// Chooses the engine that has the prompt read first.
/// @param tokens prompt tokens of the request.
std::optional<std::size_t> choosePrefill(const std::vector<PlacementCandidate> &candidates, double tokens,
                                         const std::function<double()> &random);
/// Chooses the engine whose memory will be least full. Engines without room for the request are left out: what does
/// not fit preempts others or is rejected after its prompt was read. Answers bursts that exceed the decode engines.
/// @param tokens memory that the request holds at its end, in tokens.
/// @param capacity memory of an engine in tokens; 0 if not known.
std::optional<std::size_t> chooseDecode(const std::vector<PlacementCandidate> &candidates, double tokens,
                                        double capacity, const std::function<double()> &random);

}

}
