#pragma once

#include "cyclamencross/base/timing.h"

#include <functional>
#include <string>
#include <string_view>

#include <httplib.h>

namespace Cyclamen
{

/// Limits of one caller's connection.
struct ConnectionLimits
{
    Millis idleTimeout{10000}; ///< Longest wait for data, and for all headers of a request.
    std::size_t maxHeaderBytes = 64U << 10U;
    std::size_t maxBodyBytes = 8U << 20U;
};

/// A caller's connection as a cpp-httplib stream with its own limits. A handler may write the response itself by
/// bypassLibraryWrites() and send(); what cpp-httplib writes for that request is then discarded.
class CallerConnection : public httplib::Stream
{
public:
    /// @param socket an accepted connection; closed by the destructor.
    /// @param stopEvent a descriptor that becomes readable when the server stops.
    CallerConnection(int socket, const ConnectionLimits &limits, int stopEvent);
    ~CallerConnection() override;
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// Waits for the first byte of the next request.
    /// @param othersWaiting returns whether other callers wait for a thread; then an idle connection is given up,
    /// unless it has not sent its first request yet.
    /// @return false if the connection must be closed: the caller closed it or timed out, the server is stopping, or
    /// other callers are waiting.
    bool awaitRequest(const std::function<bool()> &othersWaiting);
    /// Must be called after the headers are read; the limits of the body apply from then on.
    void endHeaders();
    /// Returns whether the request exceeded a size limit.
    bool sizeLimitExceeded() const;

    /// Discards what cpp-httplib writes until the end of the request; the handler writes the response by send().
    void bypassLibraryWrites();
    /// Writes all of @p data to the caller.
    /// @return false if the caller has disconnected or does not read.
    bool send(std::string_view data);
    /// Closes the connection after this request instead of keeping it alive.
    void closeAfterRequest();
    bool canKeepAlive() const;
    /// Shuts down the sending side and discards what the caller still sends for up to @p timeout. Closing a socket with
    /// unread data would send a reset, which can destroy a response that the caller has not read yet.
    void lingeringClose(Millis timeout);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *data, size_t size) override;
    ssize_t write(const char *data, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    int socket() const override;

private:
    /// Waits until the socket is ready for the poll() events @p events.
    /// @return false on timeout or if the server is stopping; a write gets a grace period in that case.
    bool waitReady(short events, Millis timeout) const;
    bool isServerStopping() const;

    int fd;
    ConnectionLimits limits;
    int stopEvent;
    std::string buffer;
    std::size_t readPosition = 0;
    std::size_t requestBytesRead = 0;
    TimePoint headerDeadline;
    bool firstRequest = true;
    bool readingHeaders = true;
    bool limitExceeded = false;
    bool bypassesLibrary = false;
    bool connectionBroken = false;
    bool closeRequested = false;
};

}
