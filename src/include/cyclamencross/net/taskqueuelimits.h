#pragma once

#include <cstddef>

namespace Cyclamen
{

/// Limits of a BoundedTaskQueue.
struct TaskQueueLimits
{
    std::size_t threads = 1; ///< Regular threads.
    std::size_t waiting = 0; ///< Tasks that may wait for a regular thread.
    std::size_t overflowThreads = 1;
    std::size_t overflowWaiting = 1; ///< Tasks that may wait for an overflow thread; at least 1.

    bool operator==(const TaskQueueLimits &) const = default;
};

}
