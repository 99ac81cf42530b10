#include "cancelsignal.h"

#include <algorithm>
#include <thread>

namespace Cyclamen
{

namespace
{

constexpr Millis SleepInterval{5};

}

void CancelSignal::cancel(CancelReason reason)
{
    const std::scoped_lock lock(this->mutex);
    if (reason == CancelReason::CallerGone && this->ignoresCaller) {
        return;
    }
    if (this->cancelReason == CancelReason::None) {
        this->cancelReason = reason;
    }
    if (this->interrupt) {
        this->interrupt();
    }
}

CancelReason CancelSignal::reason() const
{
    const std::scoped_lock lock(this->mutex);
    if (this->cancelReason == CancelReason::None && this->deadline && Clock::now() >= *this->deadline) {
        return CancelReason::Deadline;
    }
    return this->cancelReason;
}

void CancelSignal::ignoreCallerGone()
{
    const std::scoped_lock lock(this->mutex);
    this->ignoresCaller = true;
    if (this->cancelReason == CancelReason::CallerGone) {
        this->cancelReason = CancelReason::None;
    }
}

void CancelSignal::setDeadline(TimePoint newDeadline)
{
    const std::scoped_lock lock(this->mutex);
    this->deadline = newDeadline;
}

Millis CancelSignal::remaining() const
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
    if (this->cancelReason == CancelReason::None && this->deadline && now >= *this->deadline) {
        this->cancelReason = CancelReason::Deadline;
    }
    if (this->cancelReason != CancelReason::None && this->interrupt) {
        this->interrupt();
    }
}

bool CancelSignal::sleep(Millis duration)
{
    const TimePoint end = Clock::now() + duration;
    while (this->reason() == CancelReason::None && Clock::now() < end) {
        std::this_thread::sleep_for(std::min<Clock::duration>(SleepInterval, end - Clock::now()));
    }
    return this->reason() == CancelReason::None;
}

CancelSignal::InterruptHandler::InterruptHandler(CancelSignal &signal, std::function<void()> interrupt)
    : signal(signal)
{
    const std::scoped_lock lock(signal.mutex);
    signal.interrupt = std::move(interrupt);
    if (signal.cancelReason != CancelReason::None) {
        signal.interrupt();
    }
}

CancelSignal::InterruptHandler::~InterruptHandler()
{
    const std::scoped_lock lock(this->signal.mutex);
    this->signal.interrupt = nullptr;
}

}
