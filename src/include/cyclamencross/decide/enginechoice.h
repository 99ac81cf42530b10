#pragma once

#include "cyclamencross/base/engineload.h"
#include "cyclamencross/decide/rankedengine.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Returns the load of the engine at an address, or nothing if it is not known.
using LoadLookup = std::function<std::optional<EngineLoad>(const std::string &engine)>;

/// Maximum number of candidates that are ranked. From a larger set a random sample is ranked, which includes the hinted
/// engine. An entry does not know the loads of most engines anyway, and ranking 1,450 engines takes 0.8 ms.
constexpr std::size_t MaxRankedCandidates = 64;

/// Ranks @p candidates for a prefill by expected wait plus cost, best first. Engines of equal rank are ordered at
/// random, so that entries do not all choose the same one.
/// @param load load of each engine.
/// @param promptTokens length of the prompt.
/// @param hintedEngine address of the engine that probably has the start of the prompt in its prefix cache; its cost
///        covers the uncached part only.
std::vector<RankedEngine> rankPrefill(const std::vector<Backend> &candidates, const LoadLookup &load,
                                      std::uint64_t promptTokens, const std::optional<std::string> &hintedEngine,
                                      std::mt19937_64 &random);

/// Ranks @p candidates for decoding, best first: most free slots, then the same availability zone as the entry, then at
/// random.
/// @param zone availability zone of the entry.
std::vector<RankedEngine> rankDecode(const std::vector<Backend> &candidates, const LoadLookup &load,
                                     const std::string &zone, std::mt19937_64 &random);

}
