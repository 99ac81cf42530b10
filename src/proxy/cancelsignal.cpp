#include "cancelsignal.h"

#include <algorithm>
#include <thread>

namespace Cyclamen
{

namespace
{

constexpr Millis SleepStep{5};

}

void CancelSignal::cancel(CancelReason reason)
{
    const std::scoped_lock lock(this->mutex);
    if (reason == CancelReason::CallerGone && this->callerIgnored) {
        return;
    }
    if (this->why == CancelReason::None) {
        this->why = reason;
    }
    if (this->interrupt) {
        this->interrupt();
    }
}

CancelReason CancelSignal::reason() const
{
    const std::scoped_lock lock(this->mutex);
    if (this->why == CancelReason::None && this->deadline && Clock::now() >= *this->deadline) {
        return CancelReason::Deadline;
    }
    return this->why;
}

void CancelSignal::ignoreCallerGone()
{
    const std::scoped_lock lock(this->mutex);
    this->callerIgnored = true;
    if (this->why == CancelReason::CallerGone) {
        this->why = CancelReason::None;
    }
}

void CancelSignal::setDeadline(TimePoint newDeadline)
{
    const std::scoped_lock lock(this->mutex);
    this->deadline = newDeadline;
}

Millis CancelSignal::left() const
{
    const std::scoped_lock lock(this->mutex);
    if (!this->deadline) {
        return Millis::max();
    }
    return std::max(Millis(0), std::chrono::duration_cast<Millis>(*this->deadline - Clock::now()));
}

void CancelSignal::tick(TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    if (this->why == CancelReason::None && this->deadline && now >= *this->deadline) {
        this->why = CancelReason::Deadline;
    }
    if (this->why != CancelReason::None && this->interrupt) {
        this->interrupt();
    }
}

bool CancelSignal::sleep(Millis duration)
{
    const TimePoint end = Clock::now() + duration;
    while (this->reason() == CancelReason::None && Clock::now() < end) {
        std::this_thread::sleep_for(std::min<Clock::duration>(SleepStep, end - Clock::now()));
    }
    return this->reason() == CancelReason::None;
}

CancelSignal::Interruption::Interruption(CancelSignal &signal, std::function<void()> interrupt)
    : signal(signal)
{
    const std::scoped_lock lock(signal.mutex);
    signal.interrupt = std::move(interrupt);
    if (signal.why != CancelReason::None) {
        signal.interrupt();
    }
}

CancelSignal::Interruption::~Interruption()
{
    const std::scoped_lock lock(this->signal.mutex);
    this->signal.interrupt = nullptr;
}

}
