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

/// HTTP server of the callers' port. Reads requests within limits, passes them to one handler and writes the responses.
class CallerServer
{
public:
    /// Handles a request and responds by CallerExchange::reply() or by a stream. Called on many threads.
    using Handler = std::function<void(CallerExchange &)>;
    /// Builds the response to a request that is refused without calling the handler.
    /// @param status HTTP status, for example 400, 413, 431 or 503 (too many connections); 500 if the handler threw.
    using RefusalBuilder = std::function<HttpReply(int status)>;

    CallerServer(std::size_t maxConnections, ConnectionLimits limits, Handler handler, RefusalBuilder buildRefusal);
    /// Cancels the requests in progress and waits for them.
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// @param address "IP:PORT"; port 0 picks a free one.
    /// @return false if the address is invalid or cannot be bound.
    bool start(const std::string &address);
    /// Returns the bound port; valid after start().
    int port() const;
    /// Returns the watch for requests that arrive on another port, so that their deadlines and the server's stop cancel
    /// them too.
    CallerWatch &callerWatch();
    /// Closes the listener. Open connections continue.
    void stopAccepting();

private:
    class Listener;

    CallerWatch watch;
    std::unique_ptr<Listener> listener;
    std::thread acceptor;
};

}
