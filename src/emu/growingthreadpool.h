#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <httplib.h>

namespace Cyclamen
{

/// A task queue that starts a thread when no thread is idle, up to a limit. Its threads are detached, because an
/// emulator is ended by a signal and never waits for open streams.
class GrowingThreadPool : public httplib::TaskQueue
{
public:
    explicit GrowingThreadPool(std::size_t maxThreads);

    void enqueue(std::function<void()> task) override;
    void shutdown() override;

private:
    struct State;
    static void runTasks(const std::shared_ptr<State> &state);

    std::shared_ptr<State> state;
};

}
