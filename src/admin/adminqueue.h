#pragma once

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>

#include <httplib.h>

namespace Cyclamen
{

/// Runs connections on a fixed number of threads with a bounded waiting line. Connections past that go to one thread
/// that only refuses; when its line is full too, enqueue() waits and the kernel's backlog holds the rest.
class AdminQueue : public httplib::TaskQueue
{
public:
    static constexpr std::size_t MaxRefusing = 32;

    /// @param threads number of serving threads, and of connections that may wait for one.
    explicit AdminQueue(std::size_t threads);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

    /// Returns whether the calling thread must refuse its connection because the others are busy.
    static bool mustRefuse();

private:
    void run(std::size_t &count, const std::function<void()> &task);

    std::size_t threads;
    std::size_t served = 0; ///< Connections that wait for a serving thread or have one.
    std::size_t refusing = 0; ///< Connections that wait for the refusing thread or have it.
    std::mutex mutex;
    std::condition_variable finished;
    httplib::ThreadPool servers;
    httplib::ThreadPool refuser;
};

}
