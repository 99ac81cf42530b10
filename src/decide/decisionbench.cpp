// Compares the design's decisions with their alternatives, on the same seeded arrivals, and prints tables. It is not a
// test. docs/decisions.md describes the set-up and the results.
#include "slopesbench.h"
#include "worldbench.h"

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

// Returns the seconds until goodput is back at 90% of its mean before the storm, which ends in second 30; 25 if never.
double recoverySeconds(const std::vector<double> &good)
{
    const double usual = std::accumulate(good.begin() + 8, good.begin() + 20, 0.0) / 12;
    for (std::size_t second = 30; second < 55; ++second) {
        const auto from = good.begin() + static_cast<std::ptrdiff_t>(second);
        if (std::accumulate(from, from + Window, 0.0) / Window >= 0.9 * usual) {
            return static_cast<double>(second - 30);
        }
    }
    return 25;
}

void printHead(const char *title, const char *extra = "")
{
    std::printf("\n%s\n\n| alternative | load | goodput, %% of bound (min to max of seeds) | wasted prefill, %% | "
                "late, %% | refused, %% | engine refusals per 100 |%s\n|---|---|---|---|---|---|---|%s\n",
                title, extra, *extra != '\0' ? "---|---|" : "");
}

void printRow(const std::string &name, const Setup &setup)
{
    double least = 1e9;
    double most = 0;
    double goodput = 0;
    double recovery = 0;
    Totals sum;
    for (const std::uint64_t seed : Seeds) {
        World world(setup, seed);
        const Totals totals = world.run(seed);
        // No more requests can be decoded than the slots allow, and no more than arrive.
        const double bound = totals.arrivals * std::min(1.0, 1 / setup.load);
        const double share = 100 * totals.good / bound;
        least = std::min(least, share);
        most = std::max(most, share);
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
    std::printf("| %s | %.2f | %.1f (%.1f to %.1f) | %.2f | %.1f | %.1f | %.1f |", name.c_str(), setup.load, goodput,
                least, most, 100 * sum.wasted / std::max(1.0, sum.prefills), sum.late * percent, sum.refused * percent,
                sum.rejected * percent);
    if (setup.storm) {
        std::printf(" %.2f | %.0f |", sum.attempts / sum.arrivals, recovery);
    }
    std::printf("\n");
}

void compareGrants()
{
    printHead("(a) Who fills engine memory");
    for (const double load : {0.8, 1.0, 1.5}) {
        Setup setup;
        setup.load = load;
        setup.grants = Grants::Lagging;
        printRow("lagging reports", setup);
        setup.grants = Grants::Split;
        printRow("slots split among entries", setup);
        setup.grants = Grants::Owner;
        printRow("engine owners", setup);
    }
}

void compareOrder()
{
    printHead("(b) Order of reservation, with engine owners");
    for (const double load : {0.8, 1.0, 1.5}) {
        Setup setup;
        setup.load = load;
        setup.slotFirst = false;
        printRow("prefill first", setup);
        setup.slotFirst = true;
        printRow("decode slot first", setup);
    }
}

void compareRanking()
{
    printHead("(c) Ranking of prefill engines; half of the prompts share 2,000 tokens with others");
    for (const double load : {0.30, 0.36, 0.42}) {
        Setup setup;
        setup.load = load;
        setup.decodeEngines = 24;
        setup.sharedPrefixes = 0.5;
        setup.freshPrefillState = true;
        setup.rank = Rank::Count;
        printRow("request count", setup);
        setup.rank = Rank::Tokens;
        printRow("prompt tokens", setup);
        setup.rank = Rank::Hint;
        printRow("prompt tokens, hit of 64 tokens", setup);
        setup.rank = Rank::KnownHit;
        printRow("prompt tokens, hit of known length", setup);
    }
}

void compareRetries()
{
    printHead("(d) Retries while two of six decode engines are dead for 10 s and callers send again up to 3 times",
              " attempts per arrival | longest recovery, s |");
    for (const double load : {0.6, 0.9, 1.2}) {
        Setup setup;
        setup.storm = true;
        setup.load = load;
        for (const Grants grants : {Grants::Lagging, Grants::Owner}) {
            const std::string who = grants == Grants::Owner ? "owners, " : "lagging reports, ";
            setup.grants = grants;
            setup.retryBudget = false;
            printRow(who + "immediate retries", setup);
            setup.retryBudget = true;
            printRow(who + "budget and backoff", setup);
        }
    }
}

}

int main(int argc, char **argv)
{
    if (argc == 2 && std::strcmp(argv[1], "--slopes") == 0) {
        printSlopes();
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
