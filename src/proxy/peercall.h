#pragma once

#include "callerrequest.h"

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// A call that an entry forwards to the only entry that may run it.
struct PeerCall
{
    CallerRequest request;
    std::uint64_t incarnation = 0; ///< Incarnation that the receiver must have.
    Millis remaining{0}; ///< Time until the deadline of the call.

    bool operator==(const PeerCall &) const = default;
};

/// Encodes @p call as CBOR, which can carry bodies and header values that are not valid UTF-8.
std::string encodePeerCall(const PeerCall &call);

/// Decodes the output of encodePeerCall().
/// @return nothing if @p text is malformed.
std::optional<PeerCall> decodePeerCall(const std::string &text);

}
