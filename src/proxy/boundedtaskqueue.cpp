#include "boundedtaskqueue.h"

namespace Cyclamen
{

namespace
{

thread_local bool overflowThread = false;

}

BoundedTaskQueue::BoundedTaskQueue(std::size_t threads)
{
    this->regular.maxThreads = threads;
    this->overflow.maxThreads = OverflowThreads;
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
    if (this->regular.idle > this->regular.tasks.size() || this->regular.threads.size() < this->regular.maxThreads) {
        this->add(this->regular, std::move(task));
        return;
    }
    this->taken.wait(lock, [this] { return this->stopping || this->overflow.tasks.size() < OverflowWaiting; });
    this->add(this->overflow, std::move(task));
}

void BoundedTaskQueue::add(Pool &pool, std::function<void()> task)
{
    pool.tasks.push_back(std::move(task));
    if (pool.idle < pool.tasks.size() && pool.threads.size() < pool.maxThreads) {
        pool.threads.emplace_back([this, &pool] { this->work(pool); });
    }
    pool.added.notify_one();
}

void BoundedTaskQueue::shutdown()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->taken.notify_all();
    for (Pool *pool : {&this->regular, &this->overflow}) {
        pool->added.notify_all();
        for (std::thread &thread : pool->threads) {
            thread.join();
        }
        pool->threads.clear();
    }
}

void BoundedTaskQueue::work(Pool &pool)
{
    overflowThread = &pool == &this->overflow;
    std::unique_lock lock(this->mutex);
    while (true) {
        ++pool.idle;
        pool.added.wait(lock, [&] { return this->stopping || !pool.tasks.empty(); });
        --pool.idle;
        if (pool.tasks.empty()) {
            return;
        }
        const std::function<void()> task = std::move(pool.tasks.front());
        pool.tasks.pop_front();
        lock.unlock();
        this->taken.notify_one();
        task();
        lock.lock();
    }
}

}
