#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/connectionstatus.h"
#include "cyclamencross/gateway/headerlist.h"
#include "cyclamencross/gateway/requestbody.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

/// Client side of one HTTP/1.1 connection. Used from one thread. Requests are sequential: startRequest(), readHead(),
/// then readSome() until isComplete().
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    /// @param address "IP:PORT" of the server.
    HttpClientConnection(const boost::asio::any_io_executor &executor, std::string address);
    /// Longest time for a body that goes on after its deadline, since it may have no end.
    static constexpr Millis MaxBodyTime{8000};

    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    /// Opens the connection.
    /// @return ConnectionStatus::Ok if it was established, TimedOut if that took longer than @p timeout, Broken if it
    /// was refused.
    boost::asio::awaitable<ConnectionStatus> connect(Millis timeout);
    /// Starts sending a request. The response may be read before the request is sent completely.
    /// @param bytes the request without @p body.
    /// @param headRequest whether this is a HEAD request, whose response has no body whatever its headers say.
    void startRequest(std::string bytes, bool headRequest, RequestBody body = RequestBody());
    /// Discards the response that was read and prepares for reading another one to the same request.
    void expectNextResponse();
    /// Reads the status and headers of the response; skips interim responses.
    /// @param deadline applies also while bytes keep arriving.
    boost::asio::awaitable<ConnectionStatus> readHead(TimePoint deadline);
    /// Reads more of the body: at least one byte unless the response ends.
    /// @param deadline applies also while bytes keep arriving.
    boost::asio::awaitable<ConnectionStatus> readSome(TimePoint deadline);
    /// Reads the rest of the body.
    boost::asio::awaitable<ConnectionStatus> readBody(TimePoint deadline);

    /// Returns the status code; valid after readHead() has returned ConnectionStatus::Ok.
    int status() const;
    std::string reason() const;
    const HeaderList &headers() const;
    /// Returns the part of the body that was read since the last call.
    std::string takeBody();
    /// Returns the memory that the part of the body takes that takeBody() would return, in bytes.
    std::size_t bodyMemory() const;
    /// Returns whether the response was read completely.
    bool isComplete() const;
    /// Returns whether the response has neither a length nor chunks, so that the end of the connection ends it.
    bool endsWithConnection() const;
    /// Returns whether another request may follow: the request was sent and the response was read completely, the
    /// server keeps the connection open and sent nothing after the response.
    bool isReusable() const;
    /// Returns the idle timeout that the server announced in its Keep-Alive header; zero if there is none.
    Millis keepAlive() const;

    /// Sends a request that the router itself originates and reads the complete response.
    /// @param call method and target, such as "GET /path".
    /// @param json JSON body, if there is one.
    /// @param extraHeaders further headers of the request.
    /// @param bodyPause if positive, the body may go on after the deadline, for MaxBodyTime at the most, as long as no
    /// pause in it is longer than this.
    boost::asio::awaitable<ConnectionStatus> performRequest(std::string call, std::optional<std::string> json,
                                                            TimePoint deadline, HeaderList extraHeaders = {},
                                                            Millis bodyPause = Millis(0));

    /// Starts watching an idle connection, which is closed if the server closes it or sends unexpected bytes.
    void watchIdle();
    /// Stops the watch begun by watchIdle().
    /// @return whether the connection is still usable.
    bool stopIdleWatch();
    /// Closes the connection. Pending reads end with ConnectionStatus::Cancelled.
    void close();
    const std::string &address() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

}
