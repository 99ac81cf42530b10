// Compares the scheduling policies with their alternatives on the same seeded arrivals and prints tables. This is not a
// test; docs/decisions.md describes the scenarios and the results.
#include "scalingbench.h"
#include "simulationbench.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <numeric>
#include <string>
#include <vector>

using namespace Cyclamen;

namespace
{

constexpr std::array<std::uint64_t, 4> Seeds{1, 2, 3, 4};

constexpr std::size_t Window = 3; // seconds over which goodput is averaged

// Returns the seconds from the end of the engine failure, in second 30, until goodput is back at 90% of its mean before
// the failure. Returns 25 if that never happens.
double recoverySeconds(const std::vector<double> &good)
{
    const double baseline = std::accumulate(good.begin() + 8, good.begin() + 20, 0.0) / 12;
    for (std::size_t second = 30; second < 55; ++second) {
        const auto from = good.begin() + static_cast<std::ptrdiff_t>(second);
        if (std::accumulate(from, from + Window, 0.0) / Window >= 0.9 * baseline) {
            return static_cast<double>(second - 30);
        }
    }
    return 25;
}

void printTableHeader(const char *title, const char *extra = "")
{
    std::printf("\n%s\n\n| alternative | load | goodput, %% of bound (min to max of seeds) | wasted prefill, %% | "
                "late, %% | refused, %% | engine refusals per 100 |%s\n|---|---|---|---|---|---|---|%s\n",
                title, extra, *extra != '\0' ? "---|---|" : "");
}

void printRow(const std::string &name, const Scenario &scenario)
{
    double lowest = 1e9;
    double highest = 0;
    double goodput = 0;
    double recovery = 0;
    Totals sum;
    for (const std::uint64_t seed : Seeds) {
        Simulation simulation(scenario, seed);
        const Totals totals = simulation.run(seed);
        // Goodput is bounded by the arrivals and by the decode capacity.
        const double bound = totals.arrivals * std::min(1.0, 1 / scenario.load);
        const double share = 100 * totals.good / bound;
        lowest = std::min(lowest, share);
        highest = std::max(highest, share);
        goodput += share / Seeds.size();
        recovery = std::max(recovery, recoverySeconds(totals.goodBySecond));
        sum.arrivals += totals.arrivals;
        sum.late += totals.late;
        sum.refused += totals.refused;
        sum.prefills += totals.prefills;
        sum.wasted += totals.wasted;
        sum.rejected += totals.rejected;
        sum.attempts += totals.attempts;
    }
    const double percent = 100 / sum.arrivals;
    std::printf("| %s | %.2f | %.1f (%.1f to %.1f) | %.2f | %.1f | %.1f | %.1f |", name.c_str(), scenario.load, goodput,
                lowest, highest, 100 * sum.wasted / std::max(1.0, sum.prefills), sum.late * percent,
                sum.refused * percent, sum.rejected * percent);
    if (scenario.retryStorm) {
        std::printf(" %.2f | %.0f |", sum.attempts / sum.arrivals, recovery);
    }
    std::printf("\n");
}

void compareGrants()
{
    printTableHeader("(a) Who fills engine memory");
    for (const double load : {0.8, 1.0, 1.5}) {
        Scenario scenario;
        scenario.load = load;
        scenario.slotPolicy = SlotPolicy::DelayedReports;
        printRow("lagging reports", scenario);
        scenario.slotPolicy = SlotPolicy::StaticSplit;
        printRow("slots split among entries", scenario);
        scenario.slotPolicy = SlotPolicy::Owner;
        printRow("engine owners", scenario);
    }
}

void compareOrder()
{
    printTableHeader("(b) Order of reservation, with engine owners");
    for (const double load : {0.8, 1.0, 1.5}) {
        Scenario scenario;
        scenario.load = load;
        scenario.reserveSlotFirst = false;
        printRow("prefill first", scenario);
        scenario.reserveSlotFirst = true;
        printRow("decode slot first", scenario);
    }
}

void compareRanking()
{
    printTableHeader("(c) Ranking of prefill engines; half of the prompts share 2,000 tokens with others");
    for (const double load : {0.30, 0.36, 0.42}) {
        Scenario scenario;
        scenario.load = load;
        scenario.decodeEngines = 24;
        scenario.sharedPrefixes = 0.5;
        scenario.exactPrefillLoad = true;
        scenario.ranking = PrefillRanking::RequestCount;
        printRow("request count", scenario);
        scenario.ranking = PrefillRanking::PromptTokens;
        printRow("prompt tokens", scenario);
        scenario.ranking = PrefillRanking::FixedHint;
        printRow("prompt tokens, hit of 64 tokens", scenario);
        scenario.ranking = PrefillRanking::KnownHit;
        printRow("prompt tokens, hit of known length", scenario);
    }
}

void compareRetries()
{
    printTableHeader(
        "(d) Retries while two of six decode engines are dead for 10 s and callers send again up to 3 times",
        " attempts per arrival | longest recovery, s |");
    for (const double load : {0.6, 0.9, 1.2}) {
        Scenario scenario;
        scenario.retryStorm = true;
        scenario.load = load;
        for (const SlotPolicy slotPolicy : {SlotPolicy::DelayedReports, SlotPolicy::Owner}) {
            const std::string owner = slotPolicy == SlotPolicy::Owner ? "owners, " : "lagging reports, ";
            scenario.slotPolicy = slotPolicy;
            scenario.retryBudget = false;
            printRow(owner + "immediate retries", scenario);
            scenario.retryBudget = true;
            printRow(owner + "budget and backoff", scenario);
        }
    }
}

}

int main(int argc, char **argv)
{
    if (argc == 2 && std::strcmp(argv[1], "--slopes") == 0) {
        printScalingCosts();
        return 0;
    }
    if (argc != 1) {
        std::fprintf(stderr, "usage: decisionbench [--slopes]\n");
        return 2;
    }
    compareGrants();
    compareOrder();
    compareRanking();
    compareRetries();
    return 0;
}
