#pragma once

#include "cacheevents.h"
#include "heldrequest.h"

#include "cyclamencross/base/engineload.h"
#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>
#include <vector>

#include <boost/leaf/result.hpp>

namespace Cyclamen
{

/// Reads an engine's state over HTTP; its methods block. They fail with ConnectFailed, ExchangeBroken or
/// ProtocolViolation. Thread-safe.
class EngineClient
{
public:
    /// @param address "IP:PORT".
    /// @param connectTimeout timeout for opening the connection.
    /// @param replyTimeout timeout of each read and write on the open connection.
    EngineClient(std::string address, Millis connectTimeout, Millis replyTimeout);

    /// Reads the engine's load.
    /// @return the load; `known` is the time at which reading began.
    boost::leaf::result<EngineLoad> load() const;
    /// Reads the list of the requests that the engine holds.
    boost::leaf::result<std::vector<HeldRequest>> requests() const;
    /// Reads the cache events from sequence number @p since on.
    boost::leaf::result<CacheEvents> cacheEvents(std::uint64_t since) const;
    /// Cancels a request.
    /// @return whether the engine knew the request.
    boost::leaf::result<bool> cancel(const std::string &requestId) const;

private:
    boost::leaf::result<std::string> exchange(const std::string &path, const std::string &body) const;

    std::string address;
    Millis connectTimeout;
    Millis replyTimeout;
};

}
