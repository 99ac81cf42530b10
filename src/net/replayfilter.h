#pragma once

#include "cyclamencross/base/timing.h"

#include <bitset>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace Cyclamen
{

/// Detects replayed datagrams by a window of sequence numbers for each sender. Not thread-safe; the current time is
/// passed in.
class ReplayFilter
{
public:
    enum class Result : std::uint8_t { Fresh, Replay, OldIncarnation, TableFull };

    /// Number of sequence numbers that are tracked for each sender; older ones count as replays.
    static constexpr std::size_t WindowWidth = 1024;
    /// Six times the 670 entries that the fleet is designed for.
    static constexpr std::size_t MaxSenders = 4096;
    /// Idle time after which a sender may be evicted. Equals the time after which membership removes a dead member.
    static constexpr Millis SenderIdleTimeout{600000};

    /// Checks an authentic datagram and, if it is fresh, records it.
    /// @param incarnation a greater incarnation replaces earlier ones of the sender; see newIncarnation().
    Result check(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence, TimePoint now);
    /// Returns the number of senders in the table.
    std::size_t senders() const;

private:
    struct Sender
    {
        std::uint64_t incarnation = 0;
        std::uint64_t highestSequence = 0;
        std::bitset<WindowWidth> seen; ///< Bit number: sequence % WindowWidth.
        TimePoint lastReceived;
    };
    /// Evicts idle senders if the table is full. @return whether there is room for another sender.
    bool evictIdleSenders(TimePoint now);

    std::unordered_map<std::string, Sender> senderTable;
};

}
