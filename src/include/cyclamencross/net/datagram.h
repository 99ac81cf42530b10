#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// What a datagram between entries carries.
enum class DatagramKind : std::uint8_t {
    Ping = 1,
    PingRequest,
    Ack,
    SlotAsk,
    SlotReply,
    SlotRelease,
};

/// An authenticated datagram as its receiver sees it.
struct Datagram
{
    std::string sender; ///< Name of the sending entry.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    DatagramKind kind = DatagramKind::Ping;
    std::string payload; ///< cereal portable binary of the message.
    std::string from; ///< "IP:PORT" it came from.

    bool operator==(const Datagram &) const = default;
};

}
