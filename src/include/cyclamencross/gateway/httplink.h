#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/headerlist.h"
#include "cyclamencross/gateway/linkstatus.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

/// One HTTP/1.1 client connection. Used from one thread. Exchanges follow one another: startExchange(), readHead(),
/// then readSome() until isComplete().
class HttpLink : public std::enable_shared_from_this<HttpLink>
{
public:
    /// @param address "IP:PORT" of the server.
    HttpLink(const boost::asio::any_io_executor &executor, std::string address);
    ~HttpLink();
    HttpLink(const HttpLink &) = delete;
    HttpLink &operator=(const HttpLink &) = delete;

    /// Opens the connection.
    /// @return whether it is open.
    boost::asio::awaitable<bool> connect(Millis timeout);
    /// Starts sending a request. The answer may be read before all of it is sent.
    /// @param headRequest whether the answer has no body whatever its headers say.
    void startExchange(std::string bytes, bool headRequest);
    /// Passes over the answer that was read; the next bytes are the head of another one.
    void expectNextAnswer();
    /// Reads the status and headers of the answer.
    boost::asio::awaitable<LinkStatus> readHead(TimePoint deadline);
    /// Reads some more of the body, at least one byte unless the answer ends.
    boost::asio::awaitable<LinkStatus> readSome(TimePoint deadline);
    /// Reads the rest of the body.
    boost::asio::awaitable<LinkStatus> readRest(TimePoint deadline);

    int status() const;
    std::string reason() const;
    const HeaderList &headers() const;
    /// Returns the body read since the last call.
    std::string takeBody();
    /// Returns whether the whole answer was read.
    bool isComplete() const;
    /// Returns whether another exchange may follow: the answer is complete, the request was sent whole, the server
    /// keeps the connection and nothing came after the answer.
    bool isReusable() const;
    /// Returns how long the server keeps the idle connection; zero if it does not tell.
    Millis keepAlive() const;

    /// Makes a call of the router's own and reads the whole answer.
    /// @param call method and target.
    /// @param json body; without it the call has none.
    boost::asio::awaitable<LinkStatus> exchange(std::string call, std::optional<std::string> json, TimePoint deadline);

    /// Watches the idle connection and closes it when it ends or when unexpected bytes arrive.
    void watchIdle();
    /// Ends watchIdle().
    /// @return whether the connection is still good.
    bool endIdleWatch();
    /// Closes the connection. Pending operations end with LinkStatus::Cancelled.
    void close();
    const std::string &address() const;

private:
    struct Members;
    std::unique_ptr<Members> members;
};

}
