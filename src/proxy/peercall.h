#pragma once

#include "callerrequest.h"

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// A call that one entry forwards to the only one that may run it.
struct PeerCall
{
    CallerRequest request;
    std::uint64_t incarnation = 0; ///< The receiver must be this incarnation.
    Millis left{0}; ///< Time left of the call's deadline.

    bool operator==(const PeerCall &) const = default;
};

/// Returns @p call as CBOR, which carries bodies and header values of any bytes.
std::string packPeerCall(const PeerCall &call);

/// Reads what packPeerCall() wrote.
/// @return nothing if it is malformed.
std::optional<PeerCall> unpackPeerCall(const std::string &text);

}
