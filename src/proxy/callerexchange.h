#pragma once

#include "callerrequest.h"
#include "cancelsignal.h"

#include "cyclamencross/net/httpreply.h"

#include <optional>

namespace Cyclamen
{

class CallerConnection;

/// One request of a caller and the means to answer it: either one whole reply, or a stream.
class CallerExchange
{
public:
    /// @param connection null in tests that need no stream.
    CallerExchange(CallerRequest request, CallerConnection *connection);

    const CallerRequest &request() const;
    CancelSignal &cancelSignal();

    /// Sets the whole answer.
    void reply(HttpReply reply);
    /// Begins a stream: writes status 200 and @p headers.
    /// @return false if the caller is gone.
    bool beginStream(const std::map<std::string, std::string> &headers);
    /// Writes one chunk of the stream.
    bool write(std::string_view data);
    /// Ends the stream as complete.
    void endStream();
    /// Ends the stream as incomplete: the final chunk is left out and the connection closed.
    void abortStream();

    bool streamBegun() const;
    /// Returns the whole answer, if one was set.
    const std::optional<HttpReply> &wholeReply() const;

private:
    CallerRequest callerRequest;
    CallerConnection *connection;
    CancelSignal signal;
    std::optional<HttpReply> whole;
    bool streaming = false;
};

}
