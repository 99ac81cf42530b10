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

/// A backend server's answer, with repeated headers kept.
struct BackendReply
{
    int status = 0;
    CallerRequest::Headers headers;
    std::string body; ///< Empty if it was handed to a receiver.

    std::string header(const std::string &name) const;
};

/// How one exchange ended. ConnectFailed: no byte has left. ExchangeBroken: the work may or may not have happened.
/// CallerGone: the cancel signal ended it; bytes may have left.
using ExchangeEnd = std::variant<BackendReply, ConnectFailed, ExchangeBroken, CallerGone>;

/// Sends requests to backend servers: one connection and one send for each, never repeated by itself.
class BackendClient
{
public:
    /// Takes a part of the body of a 200 answer.
    /// @return false to end the exchange.
    using Receiver = std::function<bool(std::string_view)>;

    /// Largest body that is kept whole.
    static constexpr std::size_t MaxWholeBytes = 32U << 20U;

    /// @param silence longest time without a byte from the server.
    BackendClient(Millis connectTimeout, Millis silence);

    /// Sends @p request and reads the whole answer.
    ExchangeEnd send(const BackendRequest &request, CancelSignal &cancel) const;
    /// Sends @p request and hands the body of a 200 answer to @p receiver as it arrives.
    ExchangeEnd stream(const BackendRequest &request, CancelSignal &cancel, const Receiver &receiver) const;
    /// Returns whether the server refuses a fresh connection, as a dead process does. Takes up to 40 ms if it accepts.
    bool refusesConnection(const std::string &address) const;

private:
    bool refusesOnce(const std::string &address) const;

    Millis connectTimeout;
    Millis silence;
};

}
