#pragma once

#include "memberrecord.h"

namespace Cyclamen
{

/// The state of a member without its addresses, for receivers that are expected to know the member. It takes a third of
/// the bytes of a whole record, so that the failure of an availability zone can be reported in few datagrams.
struct MemberStatus
{
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint32_t heartbeat = 0;
    Health health = Health::Alive;
    Lifecycle lifecycle = Lifecycle::Running;

    bool operator==(const MemberStatus &) const = default;
};

}
