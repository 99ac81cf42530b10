#pragma once

#include "cancelsignal.h"

#include <map>
#include <mutex>
#include <thread>

namespace Cyclamen
{

/// Watches the connections and deadlines of all requests in progress on one thread. Cancels a request within
/// milliseconds when its caller disconnects or its deadline passes, also while the request's own thread is blocked.
/// Thread-safe.
class CallerWatch
{
public:
    CallerWatch();
    ~CallerWatch();
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;

    /// Watches a request for the lifetime of this object.
    class Guard
    {
    public:
        /// @param socket the caller's connection, or -1 if the request has none; then only the deadline is watched.
        Guard(CallerWatch &watch, CancelSignal &signal, int socket);
        ~Guard();
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;

    private:
        CallerWatch &watch;
        CancelSignal &signal;
    };

    /// Cancels every request in progress and every request that is added later.
    void cancelAll(CancelReason reason);

private:
    void add(CancelSignal &signal, int socket);
    void remove(CancelSignal &signal);
    void run(const std::stop_token &stop);

    std::mutex mutex;
    std::map<CancelSignal *, int> sockets;
    CancelReason cancelAllReason = CancelReason::None;
    int epollFd = -1;
    std::jthread thread;
};

}
