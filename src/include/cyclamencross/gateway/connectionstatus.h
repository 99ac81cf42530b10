#pragma once

#include <cstdint>

namespace Cyclamen
{

/// The result of an operation on a connection.
enum class ConnectionStatus : std::uint8_t {
    Ok,
    Broken, ///< The peer reset the connection or closed it in the middle of a message.
    TimedOut,
    Malformed, ///< The bytes are not a valid HTTP message, or the message is too large.
    Cancelled, ///< The router closed the connection.
    NoMemory, ///< The router has no memory left for the rest of the message.
};

}
