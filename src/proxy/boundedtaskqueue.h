#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include <httplib.h>

namespace Cyclamen
{

/// Runs connections on at most a given number of threads, started as they are needed. Connections past that go to a
/// few overflow threads that only refuse; past the overflow bound, enqueue() blocks, and the kernel's backlog holds
/// further callers.
class BoundedTaskQueue : public httplib::TaskQueue
{
public:
    static constexpr std::size_t OverflowThreads = 4;
    static constexpr std::size_t OverflowWaiting = 64;

    explicit BoundedTaskQueue(std::size_t threads);
    ~BoundedTaskQueue() override;
    BoundedTaskQueue(const BoundedTaskQueue &) = delete;
    BoundedTaskQueue &operator=(const BoundedTaskQueue &) = delete;

    void enqueue(std::function<void()> task) override;
    /// Waits until all tasks are done.
    void shutdown() override;

    /// Returns whether all threads are taken.
    bool isFull();
    /// Returns whether the calling thread is an overflow thread, which must refuse its connection.
    static bool isOverflowThread();

private:
    struct Pool
    {
        std::size_t maxThreads = 0;
        std::size_t idle = 0;
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

}
