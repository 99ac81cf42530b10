#include "stopsignal.h"

#include <atomic>
#include <csignal>
#include <thread>

namespace Cyclamen
{

namespace
{

constexpr Millis SignalPollPeriod{20};

std::atomic<int> received{0};

void countSignal(int /*signal*/)
{
    received.fetch_add(1);
}

}

StopSignal::StopSignal()
{
    std::signal(SIGTERM, countSignal);
    std::signal(SIGINT, countSignal);
    std::signal(SIGPIPE, SIG_IGN);
}

int StopSignal::count() const
{
    return received.load();
}

int StopSignal::wait(int seen, Millis timeout) const
{
    const TimePoint end = Clock::now() + timeout;
    while (received.load() <= seen && Clock::now() < end) {
        std::this_thread::sleep_for(SignalPollPeriod);
    }
    return received.load();
}

}
