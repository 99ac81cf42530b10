#pragma once

#include "callerrequest.h"
#include "cancelsignal.h"

#include "cyclamencross/base/failures.h"
#include "cyclamencross/net/httpreply.h"

#include <functional>
#include <string>
#include <variant>

namespace Cyclamen
{

/// A request to a backend server.
struct BackendRequest
{
    std::string address; ///< "IP:PORT".
    std::string method;
    std::string target;
    CallerRequest::Headers headers;
    std::string body;
};

/// A backend server's response. Repeated headers are kept separately.
struct BackendReply
{
    int status = 0;
    CallerRequest::Headers headers;
    std::string body; ///< Empty if it was passed to a Receiver.

    /// Returns the first value of header @p name; empty if it is absent.
    std::string header(const std::string &name) const;
};

/// Result of one exchange. ConnectFailed: no byte was sent. ExchangeBroken: the connection failed or timed out, and the
/// work may or may not have run. CallerGone: the cancel signal ended the exchange for any reason; bytes may have been
/// sent.
using ExchangeResult = std::variant<BackendReply, ConnectFailed, ExchangeBroken, CallerGone>;

/// HTTP client for backend servers. Each request uses its own connection and is sent once; there are no automatic
/// retries. Thread-safe.
class BackendClient
{
public:
    /// Receives one part of the body of a response with status 200.
    /// @return false to abort the exchange.
    using Receiver = std::function<bool(std::string_view)>;

    /// Maximum size of a buffered response body. A larger one ends the exchange as ExchangeBroken.
    static constexpr std::size_t MaxBufferedBytes = 32U << 20U;

    /// @param ioTimeout limit for each read and write, that is, the longest time without progress.
    BackendClient(Millis connectTimeout, Millis ioTimeout);

    /// Sends @p request and buffers the response body.
    ExchangeResult send(const BackendRequest &request, CancelSignal &cancel) const;
    /// Sends @p request and passes the body of a response with status 200 to @p receiver as it arrives.
    ExchangeResult stream(const BackendRequest &request, CancelSignal &cancel, const Receiver &receiver) const;
    /// Returns whether the server refuses new connections, as it does after its process died. If it accepts them, the
    /// check takes 40 ms plus the connection times, since it is repeated.
    bool refusesConnection(const std::string &address) const;

private:
    bool probeRefused(const std::string &address) const;

    Millis connectTimeout;
    Millis ioTimeout;
};

}
