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

/// A thread pool with a bounded queue, in which each task serves one connection. Threads are started on demand.
/// Connections beyond the bounds go to a few overflow threads, which only refuse them. When the queue of these is full
/// as well, enqueue() blocks, so that further connections wait in the kernel's backlog. Thread-safe.
class BoundedTaskQueue
{
public:
    explicit BoundedTaskQueue(const TaskQueueLimits &limits);
    /// Calls shutdown().
    ~BoundedTaskQueue();
    BoundedTaskQueue(const BoundedTaskQueue &) = delete;
    BoundedTaskQueue &operator=(const BoundedTaskQueue &) = delete;

    /// Queues @p task. If both queues are full, blocks until the overflow queue has room.
    void enqueue(std::function<void()> task);
    /// Runs all queued tasks and joins the threads.
    void shutdown();

    /// Returns whether all regular threads are started and busy.
    bool isFull();
    /// Returns whether the calling thread is an overflow thread, which must refuse its connection.
    static bool isOverflowThread();

private:
    /// A queue with its threads.
    struct Pool
    {
        std::size_t maxThreads = 0;
        std::size_t maxWaiting = 0;
        std::size_t idle = 0;
        std::size_t unfinished = 0; ///< Number of tasks that are queued or running.
        std::deque<std::function<void()>> tasks;
        std::condition_variable taskAdded;
        std::vector<std::thread> threads;
    };

    /// Queues @p task and starts a thread if there are more tasks than idle threads. Called with the mutex held.
    void addTask(Pool &pool, std::function<void()> task);
    void runWorker(Pool &pool);

    std::mutex mutex;
    std::condition_variable taskDequeued;
    Pool regular;
    Pool overflow;
    bool stopping = false;
};

/// Returns an adapter that makes @p queue the task queue of a cpp-httplib server, which takes ownership of the adapter.
httplib::TaskQueue *newHttpTaskQueue(std::shared_ptr<BoundedTaskQueue> queue);

}
