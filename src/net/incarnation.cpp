#include "cyclamencross/net/incarnation.h"

#include "cyclamencross/base/hash.h"

#include <chrono>

namespace Cyclamen
{

std::uint64_t newIncarnation()
{
    static constexpr unsigned RandomBits = 20;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    return (static_cast<std::uint64_t>(millis) << RandomBits) | (randomNumber() >> (64U - RandomBits));
}

}
