#pragma once

#include "memberrecord.h"

namespace Cyclamen
{

/// The state of a member that the receiver is expected to know, in a third of the bytes of a whole record. It lets the
/// news of a failed availability zone travel in few datagrams.
struct MemberBrief
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint32_t heartbeat = 0;
    Health health = Health::Alive;
    Lifecycle lifecycle = Lifecycle::Running;

    bool operator==(const MemberBrief &) const = default;
};

}
