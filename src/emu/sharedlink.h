#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <mutex>

namespace Cyclamen
{

/// A network link with a limited rate that concurrent transfers share. Thread-safe.
class SharedLink
{
public:
    /// @param bytesPerSecond the total rate of all transfers; 0 for no limit.
    explicit SharedLink(std::uint64_t bytesPerSecond);

    /// Blocks until the link has transferred @p bytes after all earlier transfers.
    void transfer(std::uint64_t bytes);

private:
    std::uint64_t rate;
    std::mutex mutex;
    TimePoint busyUntil;
};

}
