#pragma once

#include "cyclamencross/base/timing.h"

#include <bitset>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace Cyclamen
{

/// Recognises datagrams that were received before. Not thread-safe; time is passed in.
class ReplayGuard
{
public:
    enum class Verdict : std::uint8_t { Fresh, Replay, OldIncarnation, TableFull };

    static constexpr std::size_t WindowWidth = 1024;
    /// Six times the 670 nodes that the fleet is designed for.
    static constexpr std::size_t MaxSenders = 4096;
    /// Matches the time after which membership forgets a dead member.
    static constexpr Millis IdleLifetime{600000};

    /// Decides about one authentic datagram and remembers it.
    /// @param incarnation incarnations of one sender are ordered by value; see newIncarnation().
    Verdict check(const std::string &sender, std::uint64_t incarnation, std::uint64_t sequence, TimePoint now);
    std::size_t senders() const;

private:
    struct Sender
    {
        std::uint64_t incarnation = 0;
        std::uint64_t highest = 0;
        std::bitset<WindowWidth> seen; ///< Bit sequence % WindowWidth.
        TimePoint lastHeard;
    };
    bool makeRoom(TimePoint now);

    std::unordered_map<std::string, Sender> table;
};

}
