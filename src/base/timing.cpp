#include "cyclamencross/base/timing.h"

#include <ctime>

namespace Cyclamen
{

Clock::duration bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

std::int64_t unixSeconds()
{
    return unixMillis() / 1000;
}

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}
