// The schedules in which the store returns from older copies.

#include "disturbance_test.h"

#include <algorithm>
#include <array>
#include <random>

namespace Cyclamen
{

namespace
{

constexpr std::array<int, 6> RouterCounts{3, 3, 4, 5, 7, 12};
// In milliseconds. The store has been used for a while before the oldest copy, and all rules apply again before the
// end.
constexpr int FirstReturn = 11000;
constexpr int ReturnRange = 9000;
constexpr int MinCopyAge = 1000;
constexpr int MaxCopyAge = 8000;
constexpr int MaxAway = 900;
constexpr int MaxReturnGap = 5000;
constexpr std::array<int, 8> Durations{200, 500, 1000, 1500, 2500, 3500, 5000, 9000};
constexpr int LatestEntry = 25000;
constexpr int MaxChanges = 5;

}

ExplorationSchedule ExplorationSchedule::generateWithReturns(std::uint64_t seed)
{
    std::mt19937_64 generator(seed * 0x9E3779B97F4A7C15U + 2);
    const auto below = [&generator](int limit) { return int(generator() % std::uint64_t(limit)); };
    ExplorationSchedule schedule;
    schedule.seed = seed;
    schedule.routers = RouterCounts[std::size_t(below(int(RouterCounts.size())))];
    const auto addReturn = [&](int at) {
        const int kind = FirstReturnKind + below(DisturbanceKinds - FirstReturnKind);
        const int away = below(3) == 0 ? 0 : below(MaxAway + 1);
        const int age = MinCopyAge + below(MaxCopyAge - MinCopyAge + 1);
        schedule.disturbances.push_back(
            Disturbance{DisturbanceKind(kind), DisturbanceRole::All, Millis(at), Millis(away), age});
        return age;
    };
    const int begin = FirstReturn + below(ReturnRange);
    const int age = addReturn(begin);
    if (below(2) == 0) {
        addReturn(begin + 200 + below(MaxReturnGap));
    }
    const auto addEntry = [&](int kind, int role, int at) {
        const int length = Durations[std::size_t(below(int(Durations.size())))] + below(200);
        schedule.disturbances.push_back(Disturbance{DisturbanceKind(kind), DisturbanceRole(role),
                                                    Millis(std::min(at, LatestEntry)), Millis(length), below(64)});
    };
    // A third of the schedules each with no, one and two other disturbances around the first return.
    const int others = below(3);
    for (int i = 0; i < others; ++i) {
        const int kind = below(FirstChangeKind);
        const int role = below(DisturbanceRoles);
        addEntry(kind, role, begin - 5000 + below(8000));
    }
    const int changes = 1 + below(MaxChanges);
    for (int i = 0; i < changes; ++i) {
        // Mostly changes that the copy lacks.
        const int kind = FirstChangeKind + below(FirstReturnKind - FirstChangeKind);
        addEntry(kind, 0, begin - age - 500 + below(age + 3500));
    }
    return schedule;
}

bool ExplorationSchedule::hasReturns() const
{
    return std::any_of(this->disturbances.begin(), this->disturbances.end(),
                       [](const Disturbance &item) { return int(item.kind) >= FirstReturnKind; });
}

}
