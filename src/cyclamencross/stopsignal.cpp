#include "stopsignal.h"

#include <atomic>
#include <csignal>
#include <thread>

namespace Cyclamen
{

namespace
{

constexpr Millis SignalPollInterval{20};

std::atomic<int> signalCount{0};

void countSignal(int /*signal*/)
{
    signalCount.fetch_add(1);
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
    return signalCount.load();
}

int StopSignal::wait(int seen, Millis timeout) const
{
    const TimePoint deadline = Clock::now() + timeout;
    while (signalCount.load() <= seen && Clock::now() < deadline) {
        std::this_thread::sleep_for(SignalPollInterval);
    }
    return signalCount.load();
}

}
