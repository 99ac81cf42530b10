#include "sharedlink.h"

#include <algorithm>
#include <thread>

namespace Cyclamen
{

SharedLink::SharedLink(std::uint64_t bytesPerSecond)
    : rate(bytesPerSecond)
{
}

void SharedLink::transfer(std::uint64_t bytes)
{
    if (this->rate == 0) {
        return;
    }
    TimePoint end;
    {
        const std::lock_guard lock(this->mutex);
        const auto cost = std::chrono::duration<double>(static_cast<double>(bytes) / static_cast<double>(this->rate));
        this->busyUntil = std::max(this->busyUntil, Clock::now()) + std::chrono::duration_cast<Clock::duration>(cost);
        end = this->busyUntil;
    }
    std::this_thread::sleep_until(end);
}

}
