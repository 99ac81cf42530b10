#pragma once

#include <cstdint>

namespace Cyclamen
{

/// How an operation on a connection ended.
enum class LinkStatus : std::uint8_t {
    Ok,
    Broken, ///< The peer reset the connection or closed it in the middle of a message.
    TimedOut,
    Malformed, ///< The bytes are no valid message, or the message is too large.
    Cancelled, ///< This side closed the connection.
};

}
