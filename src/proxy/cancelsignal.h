#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

namespace Cyclamen
{

/// Why a request in progress must end early.
enum class CancelReason : std::uint8_t { None, CallerGone, Deadline, Stopping };

/// Tells a request's thread, and interrupts what it is blocked in, when its caller is gone, its deadline has passed or
/// the process stops. Thread-safe.
class CancelSignal
{
public:
    /// Ends the request; the first reason stands.
    void cancel(CancelReason reason);
    /// Returns the reason, or None while the request may go on. A passed deadline counts at once.
    CancelReason reason() const;
    /// From now on the request goes on without its caller.
    void ignoreCallerGone();
    /// Sets when the request must have ended.
    void setDeadline(TimePoint deadline);
    /// Returns the time left, at least 0.
    Millis left() const;
    /// Cancels a request whose deadline has passed and repeats the interruption of one that is cancelled, since an
    /// interruption that meets a connection before it is open has no effect. Called every few milliseconds.
    void tick(TimePoint now);
    /// Waits without interruption of its own; ends early when cancelled.
    /// @return whether the request may go on.
    bool sleep(Millis duration);

    /// While it lives, a cancellation calls @p interrupt, on another thread and possibly several times.
    class Interruption
    {
    public:
        Interruption(CancelSignal &signal, std::function<void()> interrupt);
        ~Interruption();
        Interruption(const Interruption &) = delete;
        Interruption &operator=(const Interruption &) = delete;

    private:
        CancelSignal &signal;
    };

private:
    mutable std::mutex mutex;
    CancelReason why = CancelReason::None;
    bool callerIgnored = false;
    std::optional<TimePoint> deadline;
    std::function<void()> interrupt;
};

}
