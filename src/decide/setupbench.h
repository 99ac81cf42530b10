#pragma once

#include <cstddef>
#include <vector>

namespace Cyclamen
{

/// Who may fill the memory of decode engines.
enum class Grants { Lagging, Split, Owner };
/// By what prefill engines are ranked.
enum class Rank { Count, Tokens, Hint, KnownHit };

/// One alternative to measure.
struct Setup
{
    Grants grants = Grants::Owner;
    Rank rank = Rank::Tokens;
    bool freshPrefillState = false; // rank prefill engines by their true state, without owners
    bool slotFirst = true;
    bool storm = false; // two decode engines are dead for 10 s, and callers send refused requests again
    bool retryBudget = true; // false: failed attempts are repeated at once
    double load = 1; // share of the decode capacity
    double sharedPrefixes = 0; // share of prompts that begin with one of 40 known texts
    std::size_t prefillEngines = 3;
    std::size_t decodeEngines = 6;
};

/// What became of the requests that arrived between warm-up and end.
struct Totals
{
    double arrivals = 0, good = 0, late = 0, refused = 0, prefills = 0, wasted = 0, rejected = 0, attempts = 0;
    std::vector<double> goodBySecond; // by the second in which the caller sent the request
};

}
