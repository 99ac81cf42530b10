#include "cyclamencross/route/placement.h"

#include "cyclamencross/route/kvcacheforecast.h"
#include "cyclamencross/route/placementcandidate.h"
#include "cyclamencross/route/slowdowntracker.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

// A group of routers and the servers that they share. Servers process one piece of work after the other, or as many
// calls at once as they have slots; a slow machine takes longer for all of it. Routers know their own work at once and
// that of their peers by reports, and the figures of servers from their own answers and from reports.
struct UnequalServers
{
    bool useFigures = true;
    double load = 0.6;
    int slots = 1; // 1: prefill engines; more: servers of a plain service.
    // Returns the factor of each server, drawn at each change.
    std::function<double(std::mt19937 &)> draw;
    int changeMillis = 600;
    unsigned seed = 1;

    static constexpr int Servers = 8;
    static constexpr int Routers = 24;
    static constexpr int Duration = 60000;
    static constexpr int ReportMillis = 100;
    static constexpr double MeanMillis = 40; // Of a piece of work at the usual pace.
    static constexpr std::size_t MaxReported = 8;

    struct Result
    {
        double mean = 0; // Milliseconds from arrival to end.
        double late = 0; // Share that took more than six times the mean at the usual pace.
        double busiest = 0; // Mean over time of the largest queue relative to the mean queue.
        int reported = 0; // Figures in reports.
    };

    Result run() const
    {
        struct Work
        {
            int router;
            double arrived;
            double tokens;
            double left;
        };
        std::mt19937 generator(this->seed);
        std::uniform_real_distribution<double> uniform(0, 1);
        std::vector<double> factors(Servers, 1);
        std::vector<std::deque<Work>> queues(Servers);
        std::vector<SlowdownTracker> trackers(Routers);
        std::vector<std::vector<double>> placed(Routers, std::vector<double>(Servers)); // Tokens, or calls.
        std::vector<std::vector<double>> reported = placed;
        std::vector<std::vector<std::pair<double, int>>> pending(Routers, std::vector<std::pair<double, int>>(Servers));
        std::vector<double> times;
        Result result;
        double queueSum = 0;
        double largestSum = 0;
        const auto timeOf = [](double millis) { return TimePoint() + std::chrono::hours(1) + Millis(int(millis)); };
        std::vector<std::string> names;
        for (int server = 0; server < Servers; ++server) {
            names.emplace_back(1, char('a' + server));
        }
        // Load 1 is what servers of the average pace can do.
        double meanPace = 0;
        for (int i = 0; i < 10000; ++i) {
            meanPace += 1 / this->draw(generator) / 10000;
        }
        const double rate = this->load * Servers * this->slots * meanPace / MeanMillis;
        for (int now = 0; now < Duration; ++now) {
            if (now % this->changeMillis == 0) {
                for (double &factor : factors) {
                    factor = this->draw(generator);
                }
            }
            for (std::size_t server = 0; server < Servers; ++server) {
                double share = 1 / factors[server];
                for (int slot = 0; slot < std::min(this->slots, int(queues[server].size())); ++slot) {
                    queues[server][std::size_t(slot)].left -= share;
                }
                for (auto work = queues[server].begin(); work != queues[server].end();) {
                    if (work->left > 0) {
                        ++work;
                        continue;
                    }
                    const auto router = std::size_t(work->router);
                    times.push_back(now - work->arrived);
                    placed[router][server] -= this->slots == 1 ? work->tokens : 1;
                    if (trackers[router].record(names[server], factors[server], timeOf(now), false)) {
                        pending[router][server] = {factors[server], now};
                    }
                    work = queues[server].erase(work);
                }
            }
            for (std::size_t router = 0; router < Routers; ++router) {
                if ((now + int(router) * 4) % ReportMillis != 0) {
                    continue;
                }
                reported[router] = placed[router];
                std::size_t count = 0;
                for (std::size_t server = 0; server < Servers; ++server) {
                    auto &news = pending[router][server];
                    if (news.first == 0 || count == MaxReported) {
                        continue;
                    }
                    ++count;
                    ++result.reported;
                    for (std::size_t peer = 0; peer < Routers; ++peer) {
                        if (peer != router) {
                            trackers[peer].record(names[server], news.first, timeOf(news.second), true);
                        }
                    }
                    news = {0, 0};
                }
            }
            int arrivals = std::poisson_distribution<int>(rate)(generator);
            for (; arrivals > 0; --arrivals) {
                const auto router = std::size_t(uniform(generator) * Routers);
                // Between 0.1 and about 4 times the mean.
                const double millis = MeanMillis * (0.1 - 0.9 * std::log(1 - uniform(generator) * 0.98));
                const double tokens = millis / PlacementCandidate::DefaultMillisPerToken;
                std::vector<PlacementCandidate> candidates(Servers);
                for (std::size_t server = 0; server < Servers; ++server) {
                    double work = placed[router][server];
                    for (std::size_t peer = 0; peer < Routers; ++peer) {
                        work += peer == router ? 0 : reported[peer][server];
                    }
                    candidates[server].server.slots = this->slots;
                    candidates[server].work.promptTokens = std::int64_t(work);
                    candidates[server].work.requests = std::int64_t(work);
                    if (this->useFigures) {
                        candidates[server].toldSlowdown = trackers[router].find(names[server], timeOf(now));
                    }
                }
                const auto random = [&] { return uniform(generator); };
                const std::size_t chosen = this->slots == 1
                    ? Placement::choosePrefill(candidates, tokens, random).value()
                    : Placement::choosePlain(candidates, std::numeric_limits<double>::infinity(), random).value();
                placed[router][chosen] += this->slots == 1 ? tokens : 1;
                queues[chosen].push_back(Work{int(router), double(now), tokens, millis});
            }
            std::size_t largest = 0;
            for (const auto &queue : queues) {
                largest = std::max(largest, queue.size());
                queueSum += double(queue.size()) / Servers;
            }
            largestSum += double(largest);
        }
        for (const double time : times) {
            result.mean += time / double(times.size());
            result.late += (time > 6 * MeanMillis ? 1.0 : 0) / double(times.size());
        }
        result.busiest = largestSum / queueSum;
        return result;
    }
};

double someSlow(std::mt19937 &generator)
{
    return std::uniform_real_distribution<double>(0, 1)(generator) < 0.15 ? 2.5 : 1;
}

double halfSlow(std::mt19937 &generator)
{
    return std::uniform_real_distribution<double>(0, 1)(generator) < 0.5 ? 2.5 : 1;
}

// Mean of the results of some seeds, with and without the figures of the servers.
struct Comparison
{
    UnequalServers::Result with;
    UnequalServers::Result without;

    explicit Comparison(UnequalServers servers)
    {
        constexpr unsigned Seeds = 4;
        for (servers.seed = 1; servers.seed <= Seeds; ++servers.seed) {
            for (const bool useFigures : {true, false}) {
                servers.useFigures = useFigures;
                const UnequalServers::Result one = servers.run();
                UnequalServers::Result &sum = useFigures ? this->with : this->without;
                sum.mean += one.mean / Seeds;
                sum.late += one.late / Seeds;
                sum.busiest += one.busiest / Seeds;
                sum.reported += one.reported / int(Seeds);
            }
        }
    }
};

}

TEST_CASE("Servers that turn 2.5 times slower for 600 ms get less work while they are slow")
{
    // Guards against calls that wait at a slow machine which has said so, while others are as fast as usual.
    for (const double load : {0.4, 0.6, 0.8}) {
        CAPTURE(load);
        const Comparison calls(UnequalServers{true, load, 8, someSlow, 600});
        CHECK(calls.with.late < 0.8 * calls.without.late);
        CHECK(calls.with.mean < calls.without.mean);
        CHECK(calls.with.reported < 90 * UnequalServers::Duration / 1000);
        const Comparison prompts(UnequalServers{true, load, 1, someSlow, 600});
        CHECK(prompts.with.late < 0.97 * prompts.without.late);
        CHECK(prompts.with.mean < 1.005 * prompts.without.mean);
    }
}

TEST_CASE("If all servers are slow, their figures change nothing")
{
    // Guards against routers that all choose the server of which they have heard least.
    for (const int slots : {1, 8}) {
        CAPTURE(slots);
        const Comparison all(UnequalServers{true, 0.6, slots, [](std::mt19937 &) { return 2.5; }, 600});
        CHECK(all.with.mean < 1.01 * all.without.mean);
        CHECK(all.with.busiest < 1.01 * all.without.busiest);
    }
}

TEST_CASE("Figures that change faster than reports travel make routers herd no more than without them")
{
    // Guards against routers that all avoid the servers of the last report, or all choose the others. Without the least
    // difference that counts, the mean rose from 75 to 97 ms, and from 114 to 150 ms if all are slow (load 0.4).
    for (const int slots : {1, 8}) {
        for (const int changeMillis : {40, 100}) {
            for (const auto &draw : {halfSlow, someSlow}) {
                CAPTURE(slots, changeMillis);
                const Comparison flapping(UnequalServers{true, 0.6, slots, draw, changeMillis});
                CHECK(flapping.with.mean < 1.015 * flapping.without.mean);
                CHECK(flapping.with.busiest < 1.02 * flapping.without.busiest);
            }
        }
    }
}

TEST_CASE("A single figure moves the factor little, several do, and an old one counts for nothing")
{
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    SlowdownTracker tracker;
    CHECK(tracker.find("s", start) == Slowdown());
    CHECK(tracker.record("s", 2.5, start, false));
    CHECK(tracker.find("s", start).known() <= 1.7);
    for (int i = 1; i <= 6; ++i) {
        tracker.record("s", 2.5, start + Millis(40 * i), i % 2 == 0);
    }
    const TimePoint end = start + Millis(240);
    CHECK(tracker.find("s", end).known() > 2);
    CHECK(tracker.find("s", end).isFromPeer);
    CHECK(tracker.slowCount(end) == 1);
    CHECK_FALSE(tracker.record("s", 2.4, end + Millis(1), false));
    // Guards against a report that arrives late and undoes newer figures.
    CHECK_FALSE(tracker.record("s", 1, start, true));
    CHECK(tracker.find("s", end + Millis(1)).known() > 2);
    CHECK(tracker.find("s", end + Millis(301)).age == Millis(300));
    CHECK(tracker.find("s", end + Millis(301)).known() < 1.7);
    CHECK(tracker.find("s", end + SlowdownTracker::MaxAge + Millis(2)) == Slowdown());
    // Guards against a figure without bounds that stops a server or draws all work to it.
    tracker.record("t", 1000, end, false);
    CHECK(tracker.find("t", end).factor <= SlowdownTracker::MaxFactor);
    tracker.expire(end + std::chrono::seconds(5));
    CHECK(tracker.slowCount(end) == 0);
}

TEST_CASE("Servers that tell nothing count as the average, and without figures nothing changes")
{
    std::vector<PlacementCandidate> candidates(4);
    CHECK(Placement::expectedSlowdowns(candidates) == std::vector<double>(4, 1.0));
    candidates[0].toldSlowdown = Slowdown{2.5, 1, Millis(0), false};
    candidates[1].toldSlowdown = Slowdown{1, 1, Millis(0), false};
    const auto slowdowns = Placement::expectedSlowdowns(candidates);
    CHECK(slowdowns[0] == Approx(2.5));
    CHECK(slowdowns[1] == Approx(1.5));
    CHECK(slowdowns[2] == Approx(1.5));
    const auto choose = [&candidates] {
        return Placement::choosePlain(candidates, std::numeric_limits<double>::infinity(), [] { return 0.0; }).value();
    };
    // An idle slow server comes after one that runs a call in one of its eight slots.
    for (PlacementCandidate &candidate : candidates) {
        candidate.server.slots = 8;
        candidate.work.requests = 1;
    }
    candidates[0].work.requests = 0;
    CHECK(choose() == 1);
    candidates[0].toldSlowdown = Slowdown();
    CHECK(choose() == 0);
}

TEST_CASE("What an engine tells counts for streams as far as a figure lasts, and not on top of its measured pace")
{
    std::vector<PlacementCandidate> candidates(2);
    const auto request = KvCacheForecast::constant(1000);
    const auto choose = [&](std::int64_t tokensAtOther) {
        candidates[1].work.kvCache = KvCacheForecast::constant(tokensAtOther);
        return Placement::chooseDecode(candidates, request, 100000, [] { return 0.0; }).value();
    };
    candidates[0].work.kvCache = KvCacheForecast::constant(49000);
    candidates[0].toldSlowdown = Slowdown{2.5, 1, Millis(0), false};
    candidates[1].toldSlowdown = Slowdown{1, 1, Millis(0), false};
    CHECK(choose(55000) == 1);
    CHECK(choose(65000) == 0);
    candidates[0].slowness = 1.2;
    CHECK(choose(58000) == 1);
    CHECK(choose(65000) == 0);
}
