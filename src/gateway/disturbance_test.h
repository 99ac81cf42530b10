#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// What happens in a schedule: a disturbance of routers or of the store, or a change that the platform makes.
enum class DisturbanceKind {
    Refuse, ///< The store refuses all calls.
    RefuseReads,
    RefuseWrites,
    Reset, ///< Connections to the store break.
    Silent, ///< The store gives no answers and executes nothing.
    LoseAnswers, ///< The store executes calls, but its answers are lost.
    Delay, ///< Answers come up to 0.9 s late.
    SilentWatch, ///< The open watch goes silent for good; new calls work.
    SilentConnections, ///< All open connections to the store go silent for good; new ones work.
    SilentIdle, ///< Connections to the store without traffic for 1.2 s go silent for good; new ones work.
    LoseReports, ///< Reports from and to the router are lost.
    Freeze, ///< The process stands still; its clocks go on.
    Suspend, ///< The host stands still, and the steady clock with it.
    Kill, ///< The process ends and is started again at the end.
    DropHistory, ///< The store drops its history.
    HideHistory, ///< The store drops its history and leaves the changes out of its answers.
    WriteConfig,
    RemoveBackend, ///< A backend server removes its entry, and registers again at the end.
    DrainBackend, ///< A backend server is marked draining until the end.
    StopBackend, ///< A backend server lets its entry expire, and registers again at the end.
    ReturnRefuse, ///< The store is away, refuses all calls, and comes back from a copy of Disturbance::target ms
                  ///< before.
    ReturnReset, ///< The same; connections break meanwhile.
    ReturnSilent, ///< The same; there are no answers meanwhile.
};

/// The routers that a disturbance meets, by their roles when it begins.
enum class DisturbanceRole {
    Leader,
    PrimaryWatcher,
    FirstStandby,
    SecondStandby,
    AllWatchers,
    LastToOrder, ///< The router that gave the last order.
    Newest, ///< The process that was started last.
    NoWatcher, ///< One router that is no watcher, if there is any.
    Half,
    AllButOne,
    All,
};

constexpr int DisturbanceKinds = int(DisturbanceKind::ReturnSilent) + 1;
constexpr int FirstChangeKind = int(DisturbanceKind::WriteConfig);
constexpr int FirstReturnKind = int(DisturbanceKind::ReturnRefuse);
constexpr int DisturbanceRoles = int(DisturbanceRole::All) + 1;

/// One entry of a schedule.
struct Disturbance
{
    DisturbanceKind kind = DisturbanceKind::Refuse;
    DisturbanceRole role = DisturbanceRole::Leader;
    Millis at{0}; ///< Since the start of the schedule.
    Millis duration{0};
    /// Number of the backend server or router, where the role leaves a choice; the age of the copy, in milliseconds, if
    /// the store returns from one.
    int target = 0;

    bool operator==(const Disturbance &) const = default;
};

/// A run that can be repeated exactly.
struct ExplorationSchedule
{
    static constexpr Millis Duration{30000};

    std::uint64_t seed = 0; ///< Of the order of events.
    int routers = 3;
    std::vector<Disturbance> disturbances;

    bool operator==(const ExplorationSchedule &) const = default;

    /// Returns the schedule of a number. Consecutive numbers go through all kinds and roles.
    static ExplorationSchedule generate(std::uint64_t seed);
    /// Returns the schedule of a number in which the store returns from older copies once or twice. They are no part of
    /// generate(), whose schedules stay as they are.
    static ExplorationSchedule generateWithReturns(std::uint64_t seed);
    /// Returns whether the store returns from an older copy.
    bool hasReturns() const;
    /// Returns the schedule as text on one line.
    std::string toText() const;
    /// Parses the result of toText(); std::nullopt if it has another form.
    static std::optional<ExplorationSchedule> fromText(const std::string &text);
};

}
