#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <httplib.h>

namespace Cyclamen
{

/// A task queue that starts a thread when no thread is idle, up to a limit. Its threads are detached, because a
/// stand-in is ended by a signal and never waits for open streams.
class GrowingPool : public httplib::TaskQueue
{
public:
    explicit GrowingPool(std::size_t maxThreads);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    struct State;
    static void work(const std::shared_ptr<State> &state);

    std::shared_ptr<State> state;
};

}
