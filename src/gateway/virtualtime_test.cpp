#include "virtualtime_test.h"

#include <algorithm>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Cyclamen
{

namespace
{

// Actions are late by up to this time, at random, so that the order of those that are due together varies.
constexpr Micros MaxLateness{2000};

}

VirtualTime::VirtualTime(std::uint64_t seed)
    : context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE)
    , generator(seed)
{
}

VirtualTime::~VirtualTime()
{
    this->clear();
}

TimePoint VirtualTime::now() const
{
    return this->time;
}

TimePoint VirtualTime::now(const VirtualProcess &process) const
{
    return this->time - process.suspended;
}

std::int64_t VirtualTime::millis() const
{
    return std::chrono::duration_cast<Millis>(this->time - Start).count();
}

double VirtualTime::random()
{
    return std::uniform_real_distribution<double>(0, 1)(this->generator);
}

bool VirtualTime::isLater(const Event &a, const Event &b)
{
    return a.time != b.time ? a.time > b.time : a.number > b.number;
}

void VirtualTime::push(Event event)
{
    event.number = this->nextNumber++;
    this->events.push_back(std::move(event));
    std::push_heap(this->events.begin(), this->events.end(), isLater);
}

void VirtualTime::runAt(TimePoint time, ProcessPtr process, std::function<void()> action)
{
    this->push(Event{time, 0, std::move(process), TimePoint(), std::move(action)});
}

void VirtualTime::runTimer(Millis duration, ProcessPtr process, std::function<void()> action)
{
    const TimePoint processTime = this->now(*process) + duration;
    const Micros lateness(std::int64_t(this->random() * double(MaxLateness.count())));
    this->push(Event{this->time + duration + lateness, 0, std::move(process), processTime, std::move(action)});
}

boost::asio::awaitable<void> VirtualTime::sleep(ProcessPtr process, Millis duration)
{
    const auto initiate = [this, &process, duration](auto handler) {
        const auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        this->runTimer(duration, process, [shared] { std::move (*shared)(); });
    };
    co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void()>(initiate,
                                                                                       boost::asio::use_awaitable);
}

void VirtualTime::spawn(boost::asio::awaitable<void> work)
{
    boost::asio::co_spawn(this->context, std::move(work), boost::asio::detached);
    this->context.restart();
    this->context.poll();
}

void VirtualTime::freeze(VirtualProcess &process, Millis duration, bool stopsClock)
{
    const TimePoint before = std::max(process.frozenUntil, this->time);
    process.frozenUntil = std::max(process.frozenUntil, this->time + duration);
    if (stopsClock) {
        process.suspended += process.frozenUntil - before;
    }
}

bool VirtualTime::step(TimePoint until, ProcessPtr &process)
{
    while (!this->events.empty() && this->events.front().time <= until) {
        std::pop_heap(this->events.begin(), this->events.end(), isLater);
        Event event = std::move(this->events.back());
        this->events.pop_back();
        this->time = event.time;
        if (event.process && !event.process->alive) {
            continue;
        }
        if (event.process && event.process->frozenUntil > this->time) {
            const Micros lateness(std::int64_t(this->random() * double(MaxLateness.count())));
            event.time = event.process->frozenUntil + lateness;
            this->push(std::move(event));
            continue;
        }
        if (event.process && event.processTime > this->now(*event.process)) {
            event.time += event.processTime - this->now(*event.process);
            this->push(std::move(event));
            continue;
        }
        event.action();
        process = event.process;
        return true;
    }
    this->time = std::max(this->time, until);
    return false;
}

void VirtualTime::clear()
{
    while (!this->events.empty()) {
        const std::vector<Event> dropped = std::exchange(this->events, {});
    }
    // Frames of coroutines are destroyed through their executor.
    this->context.restart();
    this->context.poll();
    this->events.clear();
}

}
