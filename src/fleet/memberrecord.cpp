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

MergeChange mergeRecord(MemberRecord &known, const MemberRecord &heard)
{
    if (heard.incarnation != known.incarnation) {
        if (heard.incarnation < known.incarnation) {
            return MergeChange::None;
        }
        known = heard;
        return MergeChange::State;
    }
    MergeChange change = MergeChange::None;
    if (heard.stamp > known.stamp) {
        known.stamp = heard.stamp;
        known.load = heard.load;
        change = MergeChange::LoadOnly;
    }
    if (heard.configRevision > known.configRevision) {
        known.configRevision = heard.configRevision;
        change = MergeChange::LoadOnly;
    }
    if (std::tie(heard.heartbeat, heard.health) > std::tie(known.heartbeat, known.health)) {
        known.heartbeat = heard.heartbeat;
        known.health = heard.health;
        change = MergeChange::State;
    }
    if (heard.lifecycle > known.lifecycle) {
        known.lifecycle = heard.lifecycle;
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

MemberRecord firstRecord(const Member &self)
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
