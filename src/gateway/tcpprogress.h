#pragma once

#include <cstdint>
#include <optional>

namespace Cyclamen
{

/// What the kernel knows of the bytes sent on a TCP connection.
struct TcpProgress
{
    std::uint64_t acknowledgedBytes = 0; ///< In all, since the connection was opened.
    bool hasOutstanding = false; ///< Some bytes have not been acknowledged or sent.

    bool operator==(const TcpProgress &) const = default;

    /// Returns the state of a connected socket; std::nullopt if it cannot be read.
    static std::optional<TcpProgress> read(int socket);
};

}
