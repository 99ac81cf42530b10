#include "callerwatch.h"

#include <array>

#include <sys/epoll.h>
#include <unistd.h>

namespace Cyclamen
{

namespace
{

// Maximum delay until a passed deadline is noticed.
constexpr int TickIntervalMs = 5;
constexpr std::size_t MaxEvents = 64;

}

CallerWatch::CallerWatch()
    : epollFd(epoll_create1(EPOLL_CLOEXEC))
    , thread([this](const std::stop_token &stop) { this->run(stop); })
{
}

CallerWatch::~CallerWatch()
{
    this->thread.request_stop();
    this->thread.join();
    close(this->epollFd);
}

void CallerWatch::add(CancelSignal &signal, int socket)
{
    const std::scoped_lock lock(this->mutex);
    this->sockets[&signal] = socket;
    if (this->cancelAllReason != CancelReason::None) {
        signal.cancel(this->cancelAllReason);
    }
    if (socket < 0) {
        return;
    }
    // Without EPOLLIN, since a caller may pipeline its next request. One event is enough, since tick() repeats the
    // interrupt.
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLONESHOT;
    event.data.ptr = &signal;
    epoll_ctl(this->epollFd, EPOLL_CTL_ADD, socket, &event);
}

void CallerWatch::remove(CancelSignal &signal)
{
    const std::scoped_lock lock(this->mutex);
    const auto found = this->sockets.find(&signal);
    if (found->second >= 0) {
        epoll_ctl(this->epollFd, EPOLL_CTL_DEL, found->second, nullptr);
    }
    this->sockets.erase(found);
}

void CallerWatch::cancelAll(CancelReason reason)
{
    const std::scoped_lock lock(this->mutex);
    this->cancelAllReason = reason;
    for (const auto &[signal, socket] : this->sockets) {
        signal->cancel(reason);
    }
}

CallerWatch::Guard::Guard(CallerWatch &watch, CancelSignal &signal, int socket)
    : watch(watch)
    , signal(signal)
{
    watch.add(signal, socket);
}

CallerWatch::Guard::~Guard()
{
    this->watch.remove(this->signal);
}

void CallerWatch::run(const std::stop_token &stop)
{
    std::array<epoll_event, MaxEvents> events{};
    while (!stop.stop_requested()) {
        const int count = epoll_wait(this->epollFd, events.data(), events.size(), TickIntervalMs);
        const std::scoped_lock lock(this->mutex);
        for (int i = 0; i < count; ++i) {
            // The request may have ended between the event and the lock.
            auto *signal = static_cast<CancelSignal *>(events.at(i).data.ptr);
            if (this->sockets.contains(signal)) {
                signal->cancel(CancelReason::CallerGone);
            }
        }
        const TimePoint now = Clock::now();
        for (const auto &[signal, socket] : this->sockets) {
            signal->tick(now);
        }
    }
}

}
