#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

enum class MemberState : std::uint8_t { Alive, Suspect, Draining, Left, Dead };

/// One entry process, as described by the membership protocol.
struct Member
{
    std::string name;
    std::uint64_t incarnation = 0; ///< Identifies one run of the process; changes with each start.
    std::uint64_t heartbeat = 0; ///< Incremented by the member itself to refute a suspicion.
    MemberState state = MemberState::Alive;
    std::string callerAddress;
    std::string adminAddress;
    std::string gossipAddress;
    std::string zone;
    std::string region;
    std::uint64_t configRevision = 0; ///< Revision of the fleet configuration in force at the member.
    std::uint32_t load = 0; ///< Requests in progress.

    bool operator==(const Member &) const = default;
};

/// Returns whether @p member may receive new requests and own engines.
inline bool isAvailable(const Member &member)
{
    return member.state == MemberState::Alive || member.state == MemberState::Suspect;
}

}
