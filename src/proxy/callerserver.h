#pragma once

#include "callerconnection.h"
#include "callerexchange.h"
#include "callerwatch.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Cyclamen
{

/// The listener of the callers' port. It reads requests within bounds, hands them to one handler and writes the answer.
class CallerServer
{
public:
    /// Answers a request by reply() or by a stream.
    using Handler = std::function<void(CallerExchange &)>;
    /// Makes the answer to a request that is refused before the handler sees it.
    /// @param status HTTP status: 400, 413, 431 or 503 (too many connections).
    using Refusal = std::function<HttpReply(int status)>;

    CallerServer(std::size_t maxConnections, ConnectionLimits limits, Handler handler, Refusal refusal);
    /// Cancels the requests in progress and waits for them.
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// @param address "IP:PORT"; port 0 picks a free one.
    /// @return whether it could be bound.
    bool start(const std::string &address);
    /// Returns the bound port.
    int port() const;
    /// Watches the deadline of a request that arrived another way, and cancels it when the server stops.
    CallerWatch &callerWatch();
    /// Closes the listener; open connections go on.
    void stopAccepting();

private:
    class Listener;

    CallerWatch watch;
    std::unique_ptr<Listener> listener;
    std::thread acceptor;
};

}
