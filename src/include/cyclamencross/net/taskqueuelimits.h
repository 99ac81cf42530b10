#pragma once

#include <cstddef>

namespace Cyclamen
{

/// Bounds of a BoundedTaskQueue.
struct TaskQueueLimits
{
    std::size_t threads = 1;
    std::size_t waiting = 0; ///< Tasks that may wait for one of the threads.
    std::size_t overflowThreads = 1;
    std::size_t overflowWaiting = 1; ///< Tasks that may wait for an overflow thread; at least 1.

    bool operator==(const TaskQueueLimits &) const = default;
};

}
