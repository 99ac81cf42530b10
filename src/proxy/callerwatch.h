#pragma once

#include "cancelsignal.h"

#include <map>
#include <mutex>
#include <thread>

namespace Cyclamen
{

/// One thread that watches the connections of all requests in progress and cancels a request within milliseconds when
/// its caller closes the connection, also while the request's own thread is blocked.
class CallerWatch
{
public:
    CallerWatch();
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

    /// Watches a request while it lives.
    class Guard
    {
    public:
        Guard(CallerWatch &watch, CancelSignal &signal, int socket);
        ~Guard();
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;

    private:
        CallerWatch &watch;
        CancelSignal &signal;
    };

    /// Cancels every request in progress, and those that are added later.
    void cancelAll(CancelReason reason);

private:
    /// Watches @p socket for @p signal until forget().
    /// @param socket -1 for a request without a connection of its own, whose deadline alone is watched.
    void add(CancelSignal &signal, int socket);
    void forget(CancelSignal &signal);
    void run(const std::stop_token &stop);

    std::mutex mutex;
    std::map<CancelSignal *, int> sockets;
    CancelReason forAll = CancelReason::None;
    int epoll = -1;
    std::jthread thread;
};

}
