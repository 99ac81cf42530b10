#pragma once

#include "cyclamencross/gateway/routerrequest.h"
#include "cyclamencross/route/callerlimits.h"
#include "cyclamencross/route/memorylease.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Cyclamen
{

/// Server side of one HTTP/1.1 connection. Reads requests one after another and passes each to a handler, which
/// responds to it. Used from one thread.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    /// Handles a request; must respond by reply(), by startStream() and endStream(), or by abort().
    using Handler = std::function<boost::asio::awaitable<void>(HttpSession &session, RouterRequest &request)>;
    /// Timeout of a write, after which a caller that does not read is cut. Callers themselves abandon streams after
    /// gaps of a few seconds.
    static constexpr Millis WriteTimeout{8000};
    /// Largest number of bytes of a queue that one write, and its timeout, is for.
    static constexpr std::size_t QueueWriteBytes = 16U << 10U;

    /// @param limits returns the limits in force; called again for each request.
    HttpSession(boost::asio::ip::tcp::socket socket, std::function<CallerLimits()> limits, Handler handler);
    ~HttpSession();
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    /// Bounds the memory of the bodies of requests and of queued chunks. Must be called before run(). Without it, only
    /// CallerLimits apply.
    /// @param memory what all sessions together may take.
    /// @param onRefused called for the head of each request that is refused with 503 since there is no memory for its
    /// body; returns the headers of the refusal.
    void boundBodies(std::shared_ptr<MemoryBudget> memory, std::function<HeaderList(RouterRequest &request)> onRefused);

    /// Reads and handles requests until the connection ends.
    boost::asio::awaitable<void> run();

    /// Sends a complete response. Connection headers in @p headers are replaced.
    /// @param reason HTTP reason phrase; empty for the standard one.
    boost::asio::awaitable<void> reply(int status, std::string reason, HeaderList headers, std::string body);
    /// Sends the head of a response with a chunked body.
    boost::asio::awaitable<void> startStream(int status, std::string reason, HeaderList headers);
    /// Sends @p bytes as one chunk of the body.
    boost::asio::awaitable<void> sendChunk(std::string bytes);
    /// Queues @p bytes as one chunk of the body and returns at once.
    /// @return whether the memory for bodies admits what is queued. It is queued in any case, so the function may not
    /// be called again before there is room.
    bool queueChunk(const std::string &bytes);
    /// Returns the number of bytes that the kernel has not taken yet.
    std::size_t unsentBytes() const;
    /// Waits until at most @p bytes are unsent, the caller is gone or the time is @p until.
    boost::asio::awaitable<void> waitForRoom(std::size_t bytes, TimePoint until);
    /// Notes whether the caller's host has acknowledged bytes since the last call.
    void checkProgress(TimePoint now);
    /// Forgets what checkProgress() has noted, since it is not called for a while.
    void forgetProgress();
    /// Returns since when, as far as checkProgress() has seen, bytes for the caller are outstanding without any being
    /// acknowledged; std::nullopt if that is not so.
    std::optional<TimePoint> stalledSince() const;
    /// Ends the connection of a caller that does not read, and discards what it has not read, also in the kernel.
    /// @param reason for the log and the metrics.
    void cut(const std::string &reason);
    /// Returns why the caller was cut; empty if it was not.
    const std::string &cutReason() const;
    /// Returns the number of bytes that the kernel had not taken when the caller was cut.
    std::size_t unsentAtCut() const;
    /// Completes a response begun by startStream().
    boost::asio::awaitable<void> endStream();
    /// Closes the connection, so that the caller sees that a response already begun is incomplete.
    void abort();

    /// Returns whether the caller has closed the connection or stopped reading.
    bool isCallerDisconnected() const;
    /// Sets the function that is called once when the caller is found to be gone; replaces an earlier one.
    void onCallerDisconnect(std::function<void()> hook);
    /// Closes the connection after the current response.
    void closeAfterResponse();
    /// Closes the connection if no request is being read or handled and none waits to be read.
    void closeIfIdle();
    /// Refuses a request that is being read and has not been received completely yet.
    void refuseIncompleteRequest();
    /// Returns whether sending the response to the current request has begun.
    bool isResponseStarted() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl;

    /// Waits for the first bytes of a request.
    /// @return false if the connection ended or was idle too long.
    boost::asio::awaitable<bool> waitForRequest();
    /// Reads a complete request; refuses one that is malformed, too large or too slow.
    /// @return whether @p request was read.
    boost::asio::awaitable<bool> readRequest(RouterRequest &request);
    /// Responds with an error and closes the connection after it.
    boost::asio::awaitable<void> refuse(int status, HeaderList headers = HeaderList());
    /// Refuses a request since there is no memory for its body.
    /// @param request its head.
    boost::asio::awaitable<void> refuseBody(RouterRequest &request);
    /// Sends @p bytes and then @p body.
    boost::asio::awaitable<void> write(std::string bytes, std::string body = std::string());
    /// Writes the next part of the queue in the background, and all that follows.
    void writeQueue();
    /// Waits until the queue is sent or the caller is gone.
    boost::asio::awaitable<void> flush();
    void startWriteTimer();
    void stopWriteTimer();
    /// Closes the connection after discarding what the caller still sends, for at most LingerTime.
    boost::asio::awaitable<void> closeGracefully();
    /// Detects in the background that the caller closes the connection; buffers pipelined requests.
    void watchCaller();
    void stopWatchingCaller();
    void markCallerDisconnected();
};

}
