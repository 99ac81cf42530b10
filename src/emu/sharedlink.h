#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <mutex>

namespace Cyclamen
{

/// A link of limited rate that several transfers share. Thread-safe.
class SharedLink
{
public:
    /// @param bytesPerSecond rate of all transfers together; 0 for no limit.
    explicit SharedLink(std::uint64_t bytesPerSecond);

    /// Waits until @p bytes have passed over the link.
    void pass(std::uint64_t bytes);

private:
    std::uint64_t rate;
    std::mutex mutex;
    TimePoint busyUntil;
};

}
