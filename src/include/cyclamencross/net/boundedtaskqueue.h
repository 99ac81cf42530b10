#pragma once

#include "cyclamencross/net/taskqueuelimits.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace httplib
{

class TaskQueue;

}

namespace Cyclamen
{

/// Runs connections on at most a given number of threads, started as they are needed, with a bounded waiting line.
/// Connections past that go to a few overflow threads that only refuse; past the overflow bound, enqueue() blocks, and
/// the kernel's backlog holds further callers.
class BoundedTaskQueue
{
public:
    explicit BoundedTaskQueue(const TaskQueueLimits &limits);
    /// Shuts down.
    ~BoundedTaskQueue();
    BoundedTaskQueue(const BoundedTaskQueue &) = delete;
    BoundedTaskQueue &operator=(const BoundedTaskQueue &) = delete;

    void enqueue(std::function<void()> task);
    /// Waits until all tasks are done.
    void shutdown();

    /// Returns whether all threads are taken.
    bool isFull();
    /// Returns whether the calling thread is an overflow thread, which must refuse its connection.
    static bool isOverflowThread();

private:
    struct Pool
    {
        std::size_t maxThreads = 0;
        std::size_t maxWaiting = 0;
        std::size_t idle = 0;
        std::size_t unfinished = 0; ///< Tasks that wait or run.
        std::deque<std::function<void()>> tasks;
        std::condition_variable added;
        std::vector<std::thread> threads;
    };

    /// Adds @p task and starts a thread if none is idle; called with the mutex held.
    void add(Pool &pool, std::function<void()> task);
    void work(Pool &pool);

    std::mutex mutex;
    std::condition_variable taken;
    Pool regular;
    Pool overflow;
    bool stopping = false;
};

/// Returns a task queue for cpp-httplib that passes its tasks on to @p queue. cpp-httplib deletes it.
httplib::TaskQueue *newHttpTaskQueue(std::shared_ptr<BoundedTaskQueue> queue);

}
