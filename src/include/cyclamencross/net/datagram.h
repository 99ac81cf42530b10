#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Type of a datagram between entries. The values are part of the wire format.
enum class DatagramKind : std::uint8_t {
    Ping = 1,
    PingRequest,
    Ack,
    SlotAsk,
    SlotReply,
    SlotRelease,
};

/// A datagram between entries, after authentication.
struct Datagram
{
    std::string sender; ///< Name of the sending entry.
    std::uint64_t incarnation = 0; ///< Incarnation of the sender; see newIncarnation().
    std::uint64_t sequence = 0; ///< Numbers the datagrams of one incarnation.
    DatagramKind kind = DatagramKind::Ping;
    std::string payload; ///< The message as cereal portable binary.
    std::string from; ///< Source address as "IP:PORT".

    bool operator==(const Datagram &) const = default;
};

}
