#include "cyclamencross/route/overflowpacer.h"

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace Cyclamen;

namespace
{

// Two zones with a group and equal engines each. Requests hold room at an engine for their duration. The routers of a
// group know the work of their group only; an engine refuses what exceeds its room.
struct ZoneBurst
{
    bool withOverflow = true;
    double loadOfFirst = 1.4; // Offered load of each zone relative to its own engines.
    double loadOfSecond = 0.5;

    static constexpr int EnginesPerZone = 14;
    static constexpr int Room = 40; // Requests of average size that fit into an engine.
    static constexpr int HoldMillis = 1500;
    static constexpr int OnTimeMillis = 250; // How long a request may look for room.
    static constexpr int Duration = 8000;
    // Room that is asked for at engines of other groups, relative to what the request is expected to need.
    static constexpr double OverflowMargin = 1.5;

    struct Result
    {
        double first = 0; // Share of the requests of each zone that found room in time.
        double second = 0;
        int refusedQuestions = 0; // Of engines to routers of the other zone.
        int overflowed = 0;
    };

    Result run() const
    {
        struct Waiting
        {
            int zone;
            int since;
        };
        std::mt19937 generator(20261206);
        std::uniform_real_distribution<double> uniform(0, 1);
        // Work by zone, engine and group that placed it.
        std::vector<std::vector<std::array<int, 2>>> work(2, std::vector<std::array<int, 2>>(EnginesPerZone));
        std::deque<std::array<int, 4>> ends; // Time, zone of the engine, engine, group.
        std::vector<Waiting> waiting;
        std::vector<OverflowPacer> pacers(2);
        std::array<int, 2> arrived{};
        std::array<int, 2> placed{};
        Result result;
        for (int now = 0; now < Duration; ++now) {
            while (!ends.empty() && ends.front()[0] <= now) {
                const auto [time, zone, engine, group] = ends.front();
                --work[std::size_t(zone)][std::size_t(engine)][std::size_t(group)];
                ends.pop_front();
            }
            for (int zone = 0; zone < 2; ++zone) {
                const double load = zone == 0 ? this->loadOfFirst : this->loadOfSecond;
                const double rate = load * EnginesPerZone * Room / HoldMillis;
                const int count = std::poisson_distribution<int>(rate)(generator);
                arrived[std::size_t(zone)] += count;
                waiting.insert(waiting.end(), std::size_t(count), Waiting{zone, now});
            }
            const auto place = [&](int zone, int engine, int group, double margin) {
                auto &there = work[std::size_t(zone)][std::size_t(engine)];
                if (there[0] + there[1] + margin > Room) {
                    return false;
                }
                ++there[std::size_t(group)];
                ends.push_back({now + HoldMillis, zone, engine, group});
                ++placed[std::size_t(group)];
                return true;
            };
            std::erase_if(waiting, [&](const Waiting &request) {
                if (now - request.since > OnTimeMillis) {
                    return true;
                }
                if ((now - request.since) % 20 != 0) {
                    return false;
                }
                const auto &own = work[std::size_t(request.zone)];
                int best = 0;
                for (int engine = 1; engine < EnginesPerZone; ++engine) {
                    best = own[std::size_t(engine)][std::size_t(request.zone)]
                            < own[std::size_t(best)][std::size_t(request.zone)]
                        ? engine
                        : best;
                }
                if (own[std::size_t(best)][std::size_t(request.zone)] < Room
                    && place(request.zone, best, request.zone, 1)) {
                    return true;
                }
                OverflowPacer &pacer = pacers[std::size_t(request.zone)];
                const TimePoint time = TimePoint() + Millis(now + 1000);
                if (!this->withOverflow || !pacer.mayAsk("s", time)) {
                    return false;
                }
                const bool granted =
                    place(1 - request.zone, int(uniform(generator) * EnginesPerZone), request.zone, OverflowMargin);
                pacer.record("s", granted, time);
                result.refusedQuestions += granted ? 0 : 1;
                result.overflowed += granted ? 1 : 0;
                return granted;
            });
        }
        result.first = double(placed[0]) / arrived[0];
        result.second = double(placed[1]) / arrived[1];
        return result;
    }
};

}

TEST_CASE("A burst of one zone uses the engines of another and leaves that zone's requests their room")
{
    // Guards against requests that are refused in a zone with 1.4 times its capacity while another has half of its
    // engines free, and against that other zone paying for it.
    const auto alone = ZoneBurst{false}.run();
    const auto overflowed = ZoneBurst{true}.run();
    CHECK(alone.first < 0.85);
    CHECK(overflowed.first > 0.97);
    CHECK(overflowed.second > 0.99);
}

TEST_CASE("When all zones are full, engines are asked in vain only a few times a second")
{
    // Guards against groups that fill each other's engines to no use, and against storms of questions.
    const auto alone = ZoneBurst{false, 1.5, 1.5}.run();
    const auto overflowed = ZoneBurst{true, 1.5, 1.5}.run();
    CHECK(overflowed.first + overflowed.second > 0.99 * (alone.first + alone.second));
    CHECK(overflowed.refusedQuestions < 8 * 2 * 8);
}

TEST_CASE("While engines of other groups refuse, a router asks them less and less often")
{
    // Guards against a burst that fills all groups and in which each waiting request asks all of their engines.
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    OverflowPacer pacer;
    int questions = 0;
    for (Millis time{0}; time < Millis(10000); time += Millis(1)) {
        if (pacer.mayAsk("s", start + time)) {
            ++questions;
            pacer.record("s", false, start + time);
            pacer.record("s", false, start + time);
        }
    }
    CHECK(questions <= 32);
    CHECK(questions >= 20);
    const TimePoint later = start + Millis(11000);
    CHECK(pacer.mayAsk("other", start));
    pacer.record("s", true, later);
    CHECK(pacer.mayAsk("s", later));
    pacer.record("s", false, later);
    CHECK_FALSE(pacer.mayAsk("s", later));
    CHECK(pacer.mayAsk("s", later + OverflowPacer::FirstPause));
}
