#pragma once

#include <cstddef>
#include <vector>

namespace Cyclamen
{

/// How decode slots are assigned: each entry uses the engines' delayed reports, each entry has a fixed share of the
/// slots, or each engine has an owner that grants them.
enum class SlotPolicy { DelayedReports, StaticSplit, Owner };
/// How prefill engines are ranked: by number of unfinished prefills, by queued prompt tokens, or by tokens less a
/// prefix cache hit, of 64 tokens or of the actual length.
enum class PrefillRanking { RequestCount, PromptTokens, FixedHint, KnownHit };

/// Parameters of one simulation.
struct Scenario
{
    SlotPolicy slotPolicy = SlotPolicy::Owner;
    PrefillRanking ranking = PrefillRanking::PromptTokens;
    bool exactPrefillLoad = false; // rank prefill engines by their current state, without owners
    bool reserveSlotFirst = true;
    bool retryStorm = false; // two decode engines fail for 10 s, and callers resend refused requests
    bool retryBudget = true; // false: failed attempts are retried at once
    double load = 1; // arrivals relative to the decode capacity
    double sharedPrefixes = 0; // share of prompts that begin with one of 40 common prefixes
    std::size_t prefillEngines = 3;
    std::size_t decodeEngines = 6;
};

/// Counts over the requests that arrived after the warm-up and early enough before the end.
struct Totals
{
    double arrivals = 0, good = 0, late = 0, refused = 0, prefills = 0, wasted = 0, rejected = 0, attempts = 0;
    std::vector<double> goodBySecond; // by the second in which the caller sent the request
};

}
