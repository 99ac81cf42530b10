#include "growingthreadpool.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace Cyclamen
{

struct GrowingThreadPool::State
{
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> tasks;
    std::size_t maxThreads = 0;
    std::size_t threads = 0;
    std::size_t idle = 0;
    bool stopped = false;
};

GrowingThreadPool::GrowingThreadPool(std::size_t maxThreads)
    : state(std::make_shared<State>())
{
    this->state->maxThreads = maxThreads;
}

void GrowingThreadPool::enqueue(std::function<void()> task)
{
    const std::lock_guard lock(this->state->mutex);
    this->state->tasks.push_back(std::move(task));
    if (this->state->tasks.size() > this->state->idle && this->state->threads < this->state->maxThreads) {
        ++this->state->threads;
        std::thread([state = this->state] { runTasks(state); }).detach();
    }
    this->state->changed.notify_one();
}

void GrowingThreadPool::shutdown()
{
    const std::lock_guard lock(this->state->mutex);
    this->state->stopped = true;
    this->state->changed.notify_all();
}

void GrowingThreadPool::runTasks(const std::shared_ptr<State> &state)
{
    std::unique_lock lock(state->mutex);
    while (true) {
        ++state->idle;
        state->changed.wait(lock, [&state] { return state->stopped || !state->tasks.empty(); });
        --state->idle;
        if (state->tasks.empty()) {
            --state->threads;
            return;
        }
        const std::function<void()> task = std::move(state->tasks.front());
        state->tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

}
