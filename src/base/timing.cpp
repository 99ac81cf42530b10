#include "cyclamencross/base/timing.h"

namespace Cyclamen
{

std::int64_t unixSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

}
