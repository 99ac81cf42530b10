#include "cyclamencross/net/boundedtaskqueue.h"

#include <utility>

#include <httplib.h>

namespace Cyclamen
{

namespace
{

thread_local bool overflowThread = false;

class HttpTaskQueue : public httplib::TaskQueue
{
public:
    explicit HttpTaskQueue(std::shared_ptr<BoundedTaskQueue> queue)
        : queue(std::move(queue))
    {
    }

    void enqueue(std::function<void()> task) override
    {
        this->queue->enqueue(std::move(task));
    }

    void shutdown() override
    {
        this->queue->shutdown();
    }

private:
    std::shared_ptr<BoundedTaskQueue> queue;
};

}

BoundedTaskQueue::BoundedTaskQueue(const TaskQueueLimits &limits)
{
    this->regular.maxThreads = limits.threads;
    this->regular.maxWaiting = limits.waiting;
    this->overflow.maxThreads = limits.overflowThreads;
    this->overflow.maxWaiting = limits.overflowWaiting;
}

BoundedTaskQueue::~BoundedTaskQueue()
{
    this->shutdown();
}

bool BoundedTaskQueue::isOverflowThread()
{
    return overflowThread;
}

bool BoundedTaskQueue::isFull()
{
    const std::scoped_lock lock(this->mutex);
    return this->regular.idle == 0 && this->regular.threads.size() >= this->regular.maxThreads;
}

void BoundedTaskQueue::enqueue(std::function<void()> task)
{
    std::unique_lock lock(this->mutex);
    if (this->regular.unfinished < this->regular.maxThreads + this->regular.maxWaiting) {
        this->addTask(this->regular, std::move(task));
        return;
    }
    this->taskDequeued.wait(
        lock, [this] { return this->stopping || this->overflow.tasks.size() < this->overflow.maxWaiting; });
    this->addTask(this->overflow, std::move(task));
}

void BoundedTaskQueue::addTask(Pool &pool, std::function<void()> task)
{
    ++pool.unfinished;
    pool.tasks.push_back(std::move(task));
    if (pool.idle < pool.tasks.size() && pool.threads.size() < pool.maxThreads) {
        pool.threads.emplace_back([this, &pool] { this->runWorker(pool); });
    }
    pool.taskAdded.notify_one();
}

void BoundedTaskQueue::shutdown()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->taskDequeued.notify_all();
    for (Pool *pool : {&this->regular, &this->overflow}) {
        pool->taskAdded.notify_all();
        for (std::thread &thread : pool->threads) {
            thread.join();
        }
        pool->threads.clear();
    }
}

void BoundedTaskQueue::runWorker(Pool &pool)
{
    overflowThread = &pool == &this->overflow;
    std::unique_lock lock(this->mutex);
    while (true) {
        ++pool.idle;
        pool.taskAdded.wait(lock, [&] { return this->stopping || !pool.tasks.empty(); });
        --pool.idle;
        if (pool.tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(pool.tasks.front());
        pool.tasks.pop_front();
        lock.unlock();
        this->taskDequeued.notify_one();
        task();
        lock.lock();
        --pool.unfinished;
    }
}

httplib::TaskQueue *newHttpTaskQueue(std::shared_ptr<BoundedTaskQueue> queue)
{
    return new HttpTaskQueue(std::move(queue));
}

}
