#include "adminqueue.h"

#include <utility>

namespace Cyclamen
{

namespace
{

thread_local bool refusingThread = false;

}

AdminQueue::AdminQueue(std::size_t threads)
    : threads(threads)
    , servers(threads)
    , refuser(1)
{
}

void AdminQueue::enqueue(std::function<void()> task)
{
    std::unique_lock lock(this->mutex);
    if (this->served < 2 * this->threads) {
        this->served += 1;
        this->servers.enqueue([this, task = std::move(task)] { this->run(this->served, task); });
        return;
    }
    this->finished.wait(lock, [this] { return this->refusing < MaxRefusing; });
    this->refusing += 1;
    this->refuser.enqueue([this, task = std::move(task)] {
        refusingThread = true;
        this->run(this->refusing, task);
    });
}

void AdminQueue::run(std::size_t &count, const std::function<void()> &task)
{
    task();
    const std::scoped_lock lock(this->mutex);
    count -= 1;
    this->finished.notify_all();
}

void AdminQueue::shutdown()
{
    this->servers.shutdown();
    this->refuser.shutdown();
}

bool AdminQueue::mustRefuse()
{
    return refusingThread;
}

}
