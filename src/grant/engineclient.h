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

/// Reads an engine's state by blocking HTTP. Fails with ConnectFailed, ExchangeBroken or ProtocolViolation.
class EngineClient
{
public:
    /// @param address "IP:PORT".
    /// @param connectTimeout bound for opening the connection.
    /// @param replyTimeout bound for silence afterwards.
    EngineClient(std::string address, Millis connectTimeout, Millis replyTimeout);

    /// @return the load; `known` is the time at which reading began.
    boost::leaf::result<EngineLoad> load() const;
    boost::leaf::result<std::vector<HeldRequest>> requests() const;
    boost::leaf::result<CacheEvents> cacheEvents(std::uint64_t since) const;
    /// @return whether the engine knew the request.
    boost::leaf::result<bool> cancel(const std::string &requestId) const;

private:
    boost::leaf::result<std::string> exchange(const std::string &path, const std::string &body) const;

    std::string address;
    Millis connectTimeout;
    Millis replyTimeout;
};

}
