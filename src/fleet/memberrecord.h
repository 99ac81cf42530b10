#pragma once

#include "cyclamencross/base/member.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Stage of a member's process, announced by the member itself. It only advances within an incarnation.
enum class Lifecycle : std::uint8_t { Running, Draining, Left };

/// Health of a member as its peers judge it.
enum class Health : std::uint8_t { Alive, Suspect, Dead };

/// The gossip state of one member. Its parts are merged independently, so that all entries converge to the same state
/// even if updates are reordered, repeated or lost. In particular a suspicion cannot hide that the member is draining.
struct MemberRecord
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint32_t heartbeat = 0; ///< Incremented by the member itself to refute a suspicion.
    Health health = Health::Alive; ///< Judgement of the member at this heartbeat.
    Lifecycle lifecycle = Lifecycle::Running;
    std::uint32_t loadSequence = 0; ///< Incremented by the member itself with each change of its load.
    std::uint32_t load = 0; ///< Number of requests in progress.
    std::uint64_t configRevision = 0;
    std::string callerAddress;
    std::string adminAddress;
    std::string gossipAddress;
    std::string zone;
    std::string region;

    bool operator==(const MemberRecord &) const = default;
};

/// What a merge changed.
enum class MergeChange : std::uint8_t {
    None,
    LoadOnly, ///< Only the load or the configuration revision.
    State ///< The health, the lifecycle or the incarnation.
};

/// Merges @p received into @p known, a record of the same name.
MergeChange mergeRecord(MemberRecord &known, const MemberRecord &received);

/// Returns whether the member neither is dead nor has left.
bool isLive(const MemberRecord &record);

/// Converts a record to the form that the rest of the process uses.
Member toMember(const MemberRecord &record);

/// Returns the record with which an entry starts.
MemberRecord initialRecord(const Member &self);

}
