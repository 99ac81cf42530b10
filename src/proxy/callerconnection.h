#pragma once

#include "cyclamencross/base/timing.h"

#include <functional>
#include <string>
#include <string_view>

#include <httplib.h>

namespace Cyclamen
{

/// Bounds of one caller's connection.
struct ConnectionLimits
{
    Millis idle{10000}; ///< Longest silence of a caller, and longest time for a request's headers.
    std::size_t headerBytes = 64U << 10U;
    std::size_t bodyBytes = 8U << 20U;
};

/// A caller's connection as a cpp-httplib stream with bounds of its own. The request's handler may also write the
/// response itself; what cpp-httplib writes for that request is then discarded.
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
    /// @param isCrowded whether other callers wait for a thread, so that an idle connection must end.
    /// @return false if the caller closed the connection or stayed silent, or the server stops.
    bool awaitRequest(const std::function<bool()> &isCrowded);
    /// Tells that the headers are read; the body's bounds hold from here on.
    void headersDone();
    /// Returns whether the request exceeded a size bound.
    bool tooLarge() const;

    /// Makes the handler the writer of the response.
    void takeOver();
    /// Writes all of @p data to the caller, after takeOver().
    /// @return false if the caller is gone or does not read.
    bool send(std::string_view data);
    /// Makes keep-alive end after this request.
    void closeAfterRequest();
    bool mayContinue() const;
    /// Closes the sending side and reads what the caller still sends for @p longest, so that the kernel does not
    /// destroy an unread answer by a reset.
    void closeGently(Millis longest);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *data, size_t size) override;
    ssize_t write(const char *data, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    int socket() const override;

private:
    /// Waits until the socket is ready for @p events or the server stops.
    bool await(short events, Millis longest) const;
    bool stopped() const;

    int fd;
    ConnectionLimits limits;
    int stopEvent;
    std::string buffer;
    std::size_t position = 0;
    std::size_t readInRequest = 0;
    TimePoint headerDeadline;
    bool first = true;
    bool inHeaders = true;
    bool exceeded = false;
    bool takenOver = false;
    bool broken = false;
    bool closing = false;
};

}
