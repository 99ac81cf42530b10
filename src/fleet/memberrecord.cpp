#include "memberrecord.h"

#include <algorithm>
#include <tuple>

namespace Cyclamen
{

namespace
{

MemberState stateOf(const MemberRecord &record)
{
    if (record.lifecycle == Lifecycle::Left) {
        return MemberState::Left;
    }
    if (record.health == Health::Dead) {
        return MemberState::Dead;
    }
    if (record.lifecycle == Lifecycle::Draining) {
        return MemberState::Draining;
    }
    return record.health == Health::Suspect ? MemberState::Suspect : MemberState::Alive;
}

}

MergeChange mergeRecord(MemberRecord &known, const MemberRecord &received)
{
    if (received.incarnation != known.incarnation) {
        if (received.incarnation < known.incarnation) {
            return MergeChange::None;
        }
        known = received;
        return MergeChange::State;
    }
    MergeChange change = MergeChange::None;
    if (received.loadSequence > known.loadSequence) {
        known.loadSequence = received.loadSequence;
        known.load = received.load;
        change = MergeChange::LoadOnly;
    }
    if (received.configRevision > known.configRevision) {
        known.configRevision = received.configRevision;
        change = MergeChange::LoadOnly;
    }
    if (std::tie(received.heartbeat, received.health) > std::tie(known.heartbeat, known.health)) {
        known.heartbeat = received.heartbeat;
        known.health = received.health;
        change = MergeChange::State;
    }
    if (received.lifecycle > known.lifecycle) {
        known.lifecycle = received.lifecycle;
        change = MergeChange::State;
    }
    return change;
}

bool isLive(const MemberRecord &record)
{
    return record.health != Health::Dead && record.lifecycle != Lifecycle::Left;
}

Member toMember(const MemberRecord &record)
{
    Member member;
    member.name = record.name;
    member.incarnation = record.incarnation;
    member.heartbeat = record.heartbeat;
    member.state = stateOf(record);
    member.callerAddress = record.callerAddress;
    member.adminAddress = record.adminAddress;
    member.gossipAddress = record.gossipAddress;
    member.zone = record.zone;
    member.region = record.region;
    member.configRevision = record.configRevision;
    member.load = record.load;
    return member;
}

MemberRecord initialRecord(const Member &self)
{
    MemberRecord record;
    record.name = self.name;
    record.incarnation = self.incarnation;
    record.configRevision = self.configRevision;
    record.callerAddress = self.callerAddress;
    record.adminAddress = self.adminAddress;
    record.gossipAddress = self.gossipAddress;
    record.zone = self.zone;
    record.region = self.region;
    return record;
}

}
