#pragma once

#include "disturbance_test.h"
#include "invariants_test.h"
#include "virtualrouter_test.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Runs one schedule with several routers, a store and a few backend servers on virtual time.
class Explorer
{
public:
    /// @param clientsDropIdleConnections see VirtualStore.
    explicit Explorer(ExplorationSchedule schedule, bool clientsDropIdleConnections = true);
    ~Explorer();

    /// Runs the schedule until its end or the first violation.
    std::optional<Violation> run();
    /// Returns @p schedule without the entries that the same rule is broken without.
    static ExplorationSchedule shorten(ExplorationSchedule schedule, const std::string &rule,
                                       bool clientsDropIdleConnections = true);

private:
    /// The owner of one backend server's entry.
    struct Backend
    {
        std::string id;
        std::uint64_t lease = 0;
        bool alive = false;
        bool draining = false;
        bool removed = false; ///< Has removed its entry itself.
        bool missed = false; ///< The store was away at the last heartbeat.
        int starts = 0;
        int beats = 0; ///< Number of the present series of heartbeats; earlier ones end.
    };

    void startRouter(std::size_t index);
    void startBackend(Backend &backend);
    void heartbeat(Backend &backend, int beats);
    /// Returns the value that a backend server writes.
    std::string value(const Backend &backend) const;
    void apply(const Disturbance &item);
    void applyToRouter(const Disturbance &item, std::size_t router);
    void applyChange(const Disturbance &item);
    void applyToBackend(const Disturbance &item);
    /// Takes the copy for a return and lets the store go away and come back from it later.
    void scheduleReturn(const Disturbance &item);
    void beginReturn(const Disturbance &item);
    void finishReturn(const VirtualStoreContent &copy, Clock::duration age);
    /// Lets a backend server write again, or remove again, what the store lost.
    void repeatWrite(Backend &backend);
    /// Writes the newest configuration again if the store lost it.
    void repeatConfig();
    /// Returns when one of the writes that a return lost is repeated.
    TimePoint repeatTime();
    std::vector<std::size_t> findRouters(const Disturbance &item) const;
    void deliver(std::size_t from, const std::vector<RouterMember> &peers, const PeerReport &report);
    void checkAll();
    std::string key(const Backend &backend) const;

    ExplorationSchedule schedule;
    VirtualTime time;
    VirtualStore store;
    Invariants invariants;
    std::vector<std::unique_ptr<VirtualRouter>> routers; ///< The newest process of each.
    std::vector<std::unique_ptr<VirtualRouter>> killed;
    std::vector<TimePoint> reportsLostUntil;
    std::vector<Backend> backends;
    std::uint64_t configVersion = 1;
    std::uint64_t nextIncarnation = 1;
    std::optional<std::size_t> newest;
};

}
