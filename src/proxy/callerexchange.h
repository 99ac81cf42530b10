#pragma once

#include "callerrequest.h"
#include "cancelsignal.h"

#include "cyclamencross/net/httpreply.h"

#include <optional>

namespace Cyclamen
{

class CallerConnection;

/// One request of a caller and its response, which is either a single reply or a stream.
class CallerExchange
{
public:
    /// @param connection may be null if no stream is used.
    CallerExchange(CallerRequest request, CallerConnection *connection);

    const CallerRequest &request() const;
    CancelSignal &cancelSignal();

    /// Sets the response; it is written after the handler returns.
    void reply(HttpReply reply);
    /// Starts a chunked response with status 200 and @p headers.
    /// @return false if the caller has disconnected.
    bool startStream(const std::map<std::string, std::string> &headers);
    /// Writes one chunk of the stream.
    /// @return false if the caller has disconnected.
    bool write(std::string_view data);
    /// Ends the stream with the final chunk.
    void endStream();
    /// Ends the stream as incomplete: omits the final chunk and closes the connection.
    void abortStream();

    bool streamStarted() const;
    /// Returns the response set by reply().
    const std::optional<HttpReply> &fullReply() const;

private:
    CallerRequest callerRequest;
    CallerConnection *connection;
    CancelSignal cancel;
    std::optional<HttpReply> storedReply;
    bool streaming = false;
};

}
