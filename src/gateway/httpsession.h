#pragma once

#include "cyclamencross/gateway/routerrequest.h"
#include "cyclamencross/route/callerlimits.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Cyclamen
{

/// One HTTP/1.1 connection of a caller. Reads requests one after another and hands each to a handler, which answers it.
/// Used from one thread.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    /// Handles a request; must answer it by reply(), by startStream() and endStream(), or by abort().
    using Handler = std::function<boost::asio::awaitable<void>(HttpSession &session, RouterRequest &request)>;
    /// Longest time that a caller may leave what it is sent unread before it counts as gone. Callers give up streams
    /// after pauses of a few seconds themselves.
    static constexpr Millis WriteTimeout{8000};

    /// @param limits returns the limits in force; asked again for each request.
    HttpSession(boost::asio::ip::tcp::socket socket, std::function<CallerLimits()> limits, Handler handler);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    /// Serves the connection until it ends.
    boost::asio::awaitable<void> run();

    /// Sends a whole answer.
    /// @param reason reason phrase; empty for the usual one.
    boost::asio::awaitable<void> reply(int status, std::string reason, HeaderList headers, std::string body);
    /// Sends the head of an answer whose body follows in parts.
    boost::asio::awaitable<void> startStream(int status, std::string reason, HeaderList headers);
    boost::asio::awaitable<void> sendPart(std::string bytes);
    /// Completes an answer begun by startStream().
    boost::asio::awaitable<void> endStream();
    /// Closes the connection, so that an answer begun is seen to be incomplete.
    void abort();

    /// Returns whether the caller has closed the connection or stopped reading.
    bool isCallerGone() const;
    /// Sets what is called once when the caller goes; replaces what was set before.
    void onCallerGone(std::function<void()> hook);
    /// Closes the connection after the current answer.
    void closeAfterAnswer();
    /// Closes the connection if no request is being read or handled.
    void closeIfIdle();
    /// Returns whether the answer has been begun.
    bool isAnswered() const;

private:
    struct Members;
    std::unique_ptr<Members> members;

    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<bool> readRequest(RouterRequest &request);
    boost::asio::awaitable<void> refuse(int status);
    boost::asio::awaitable<void> write(std::string bytes);
    boost::asio::awaitable<void> closeGracefully();
    void watchCaller();
    void unwatchCaller();
    void markGone();
};

}
