#pragma once

#include "cyclamencross/base/member.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// What a member says about its own process. It only ever moves forward within an incarnation.
enum class Lifecycle : std::uint8_t { Running, Draining, Left };

/// What its peers believe about a member.
enum class Health : std::uint8_t { Alive, Suspect, Dead };

/// What gossip says about one member. Its parts are merged independently, so that news may arrive in any order, more
/// than once or not at all, and all entries still come to the same result. In particular a suspicion cannot hide that
/// the member is draining.
struct MemberRecord
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint32_t heartbeat = 0; ///< Raised by the member itself to refute a suspicion.
    Health health = Health::Alive; ///< Belief about this heartbeat.
    Lifecycle lifecycle = Lifecycle::Running;
    std::uint32_t stamp = 0; ///< Raised by the member itself with each new load.
    std::uint32_t load = 0;
    std::uint64_t configRevision = 0;
    std::string callerAddress;
    std::string adminAddress;
    std::string gossipAddress;
    std::string zone;
    std::string region;

    bool operator==(const MemberRecord &) const = default;
};

/// How much a merge changed.
enum class MergeChange : std::uint8_t { None, LoadOnly, State };

/// Merges @p heard into @p known, a record of the same name.
MergeChange mergeRecord(MemberRecord &known, const MemberRecord &heard);

/// Returns whether the member is neither dead nor has left.
bool isLive(const MemberRecord &record);

/// Returns the record as the rest of the process sees it.
Member toMember(const MemberRecord &record);

/// Returns the record of an entry that has just started.
MemberRecord firstRecord(const Member &self);

}
