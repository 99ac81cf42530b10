#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>

namespace Cyclamen
{

/// Reason why a request in progress must end early.
enum class CancelReason : std::uint8_t { None, CallerGone, Deadline, Stopping };

/// Cancellation of one request: by its caller's disconnect, its deadline or a stop of the process. The request's thread
/// polls reason(); an InterruptHandler also unblocks what the thread is waiting in. Thread-safe.
class CancelSignal
{
public:
    /// Cancels the request and calls the interrupt handler. The first reason is kept.
    void cancel(CancelReason reason);
    /// Returns the reason, or None if the request is not cancelled. A deadline takes effect without a tick().
    CancelReason reason() const;
    /// Ignores the caller's disconnect from now on, and also one that has already happened.
    void ignoreCallerGone();
    /// Sets the time at which the request is cancelled.
    void setDeadline(TimePoint deadline);
    /// Returns the time until the deadline, at least 0; Millis::max() without a deadline.
    Millis remaining() const;
    /// Cancels the request if its deadline has passed. Calls the interrupt handler again if the request is cancelled,
    /// since an interrupt before a connection is open has no effect. Must be called every few milliseconds.
    void tick(TimePoint now);
    /// Sleeps for @p duration, or until the request is cancelled.
    /// @return false if the request is cancelled.
    bool sleep(Millis duration);

    /// Installs a function that unblocks the request's thread, for the lifetime of this object. A cancellation calls it
    /// with the signal locked, usually on another thread and possibly several times; it must not use the signal.
    class InterruptHandler
    {
    public:
        InterruptHandler(CancelSignal &signal, std::function<void()> interrupt);
        ~InterruptHandler();
        InterruptHandler(const InterruptHandler &) = delete;
        InterruptHandler &operator=(const InterruptHandler &) = delete;

    private:
        CancelSignal &signal;
    };

private:
    mutable std::mutex mutex;
    CancelReason cancelReason = CancelReason::None;
    bool ignoresCaller = false;
    std::optional<TimePoint> deadline;
    std::function<void()> interrupt;
};

}
