#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace Cyclamen
{

/// One process that runs on VirtualTime.
struct VirtualProcess
{
    std::size_t router = 0; ///< Index of the router.
    bool alive = true; ///< Actions of a process that was killed are dropped.
    TimePoint frozenUntil; ///< Actions that are due before are postponed.
    Clock::duration suspended{0}; ///< Time that the steady clock of the process has left out.
};

using ProcessPtr = std::shared_ptr<VirtualProcess>;

/// Clock, timers and event queue of an exploration. Runs actions in the order of their times, without waiting. The
/// order of actions that are due together is random, but the same for the same seed.
class VirtualTime
{
public:
    /// The clock starts late enough for times that were never set to lie far in the past.
    static constexpr TimePoint Start{std::chrono::hours(1)};

    explicit VirtualTime(std::uint64_t seed);
    ~VirtualTime();
    VirtualTime(const VirtualTime &) = delete;
    VirtualTime &operator=(const VirtualTime &) = delete;

    TimePoint now() const;
    /// Returns the time of the steady clock of a process.
    TimePoint now(const VirtualProcess &process) const;
    /// Returns the time since Start in milliseconds.
    std::int64_t millis() const;
    /// Returns a uniformly distributed random number from 0 to 1.
    double random();
    /// Runs @p action at @p time, or once @p process is no longer frozen.
    /// @param process nullptr for actions that belong to no process.
    void runAt(TimePoint time, ProcessPtr process, std::function<void()> action);
    /// Runs @p action when the steady clock of @p process has advanced by @p duration.
    void runTimer(Millis duration, ProcessPtr process, std::function<void()> action);
    /// Suspends the calling coroutine for @p duration on the steady clock of @p process.
    boost::asio::awaitable<void> sleep(ProcessPtr process, Millis duration);
    /// Starts a coroutine.
    void spawn(boost::asio::awaitable<void> work);
    /// Freezes a process. Its steady clock goes on, or stops like that of a suspended host.
    void freeze(VirtualProcess &process, Millis duration, bool stopsClock);
    /// Runs the next action that is due until @p until. @p process is set to the one that it belonged to.
    /// @return whether there was one.
    bool step(TimePoint until, ProcessPtr &process);
    /// Drops all actions and destroys the coroutines that wait for them.
    void clear();

    boost::asio::io_context context;

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t number = 0;
        ProcessPtr process;
        TimePoint processTime; ///< On the clock of the process; not set for events that are no timers.
        std::function<void()> action;
    };
    static bool isLater(const Event &a, const Event &b);
    void push(Event event);

    std::mt19937_64 generator;
    TimePoint time = Start;
    std::uint64_t nextNumber = 0;
    std::vector<Event> events; ///< A heap.
};

}
