#include "callerwatch.h"

#include <array>

#include <sys/epoll.h>
#include <unistd.h>

namespace Cyclamen
{

namespace
{

// Bounds how late a passed deadline is seen.
constexpr int TickMillis = 5;
constexpr std::size_t EventsAtOnce = 64;

}

CallerWatch::CallerWatch()
    : epoll(epoll_create1(EPOLL_CLOEXEC))
    , thread([this](const std::stop_token &stop) { this->run(stop); })
{
}

CallerWatch::~CallerWatch()
{
    this->thread.request_stop();
    this->thread.join();
    close(this->epoll);
}

void CallerWatch::add(int socket, CancelSignal &signal)
{
    const std::scoped_lock lock(this->mutex);
    this->signals[socket] = &signal;
    if (this->forAll != CancelReason::None) {
        signal.cancel(this->forAll);
    }
    // EPOLLIN is left out: a caller may send its next request early. One event is enough, since tick() repeats it.
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.fd = socket;
    epoll_ctl(this->epoll, EPOLL_CTL_ADD, socket, &event);
}

void CallerWatch::forget(int socket)
{
    const std::scoped_lock lock(this->mutex);
    epoll_ctl(this->epoll, EPOLL_CTL_DEL, socket, nullptr);
    this->signals.erase(socket);
}

void CallerWatch::cancelAll(CancelReason reason)
{
    const std::scoped_lock lock(this->mutex);
    this->forAll = reason;
    for (const auto &[socket, signal] : this->signals) {
        signal->cancel(reason);
    }
}

void CallerWatch::run(const std::stop_token &stop)
{
    std::array<epoll_event, EventsAtOnce> events{};
    while (!stop.stop_requested()) {
        const int count = epoll_wait(this->epoll, events.data(), events.size(), TickMillis);
        const std::scoped_lock lock(this->mutex);
        for (int i = 0; i < count; ++i) {
            const auto found = this->signals.find(events.at(i).data.fd);
            if (found != this->signals.end()) {
                found->second->cancel(CancelReason::CallerGone);
            }
        }
        const TimePoint now = Clock::now();
        for (const auto &[socket, signal] : this->signals) {
            signal->tick(now);
        }
    }
}

}
