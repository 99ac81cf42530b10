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

using LoadLookup = std::function<std::optional<EngineLoad>(const std::string &engine)>;

/// At most this many candidates are ranked; of more, a random sample is taken, which includes the hinted engine. The
/// loads of most engines are unknown to one entry anyway, and ranking 1,450 engines costs 0.8 ms.
constexpr std::size_t MaxRanked = 64;

/// Ranks @p candidates for a prefill, the best first: least expected wait plus cost, a hinted engine's cost being that
/// of the uncached part only. Engines of equal rank are ordered at random, so that entries do not all choose the same.
std::vector<RankedEngine> rankPrefill(const std::vector<Backend> &candidates, const LoadLookup &load,
                                      std::uint64_t promptTokens, const std::optional<std::string> &hintedEngine,
                                      std::mt19937_64 &random);

/// Ranks @p candidates for decoding, the best first: most free slots, then the same availability zone as the entry,
/// then at random.
std::vector<RankedEngine> rankDecode(const std::vector<Backend> &candidates, const LoadLookup &load,
                                     const std::string &zone, std::mt19937_64 &random);

}
