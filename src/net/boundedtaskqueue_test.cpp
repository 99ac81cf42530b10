#include "cyclamencross/net/boundedtaskqueue.h"

#include <catch2/catch.hpp>

using namespace Cyclamen;

// Guards against a queue that refuses tasks while a thread or a queue place is free, that grows without bound, or that
// drops accepted tasks at shutdown.
TEST_CASE("tasks beyond the threads and their queue go to an overflow thread")
{
    BoundedTaskQueue queue(TaskQueueLimits{2, 2, 1, 1});
    std::mutex mutex;
    std::condition_variable changed;
    std::size_t entered = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    bool open = false;
    const auto task = [&] {
        std::unique_lock lock(mutex);
        if (BoundedTaskQueue::isOverflowThread()) {
            ++refused;
            changed.notify_all();
            return;
        }
        ++entered;
        changed.notify_all();
        changed.wait(lock, [&] { return open; });
        ++served;
    };
    CHECK_FALSE(queue.isFull());
    for (int i = 0; i < 7; ++i) {
        queue.enqueue(task);
    }
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return entered == 2 && refused == 3; });
        CHECK(served == 0);
        CHECK(queue.isFull());
        open = true;
    }
    changed.notify_all();
    queue.shutdown();
    CHECK(entered == 4);
    CHECK(served == 4);
    CHECK(refused == 3);
}
