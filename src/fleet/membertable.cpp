#include "membertable.h"

#include "cyclamencross/base/logline.h"

#include <cmath>

namespace Cyclamen
{

MemberTable::MemberTable(MemberRecord self, Millis suspicion, ChangeHook changed)
    : selfName(self.name)
    , suspicion(suspicion)
    , changed(std::move(changed))
{
    this->table.emplace(this->selfName, Entry{std::move(self), TimePoint()});
}

const MemberRecord &MemberTable::self() const
{
    return this->table.at(this->selfName).record;
}

const MemberRecord *MemberTable::find(const std::string &name) const
{
    const auto found = this->table.find(name);
    return found == this->table.end() ? nullptr : &found->second.record;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members;
    members.reserve(this->table.size());
    for (const auto &[name, entry] : this->table) {
        members.push_back(toMember(entry.record));
    }
    return members;
}

std::vector<std::string> MemberTable::names(const std::function<bool(const MemberRecord &)> &condition) const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : this->table) {
        if (name != this->selfName && condition(entry.record)) {
            names.push_back(name);
        }
    }
    return names;
}

const MemberRecord &MemberTable::next(const std::string &name) const
{
    const auto found = this->table.upper_bound(name);
    return found == this->table.end() ? this->table.begin()->second.record : found->second.record;
}

std::size_t MemberTable::liveCount() const
{
    std::size_t count = 0;
    for (const auto &[name, entry] : this->table) {
        count += isLive(entry.record) ? 1 : 0;
    }
    return count;
}

std::size_t MemberTable::size() const
{
    return this->table.size();
}

void MemberTable::apply(const MemberRecord &heard, TimePoint now)
{
    if (heard.name == this->selfName) {
        this->applySelf(heard);
        return;
    }
    const auto found = this->table.find(heard.name);
    if (found == this->table.end()) {
        // Somebody who is gone already is of no use to an entry that never knew it.
        if (isLive(heard)) {
            this->table.emplace(heard.name, Entry{heard, now});
            this->stateChanged(heard.name);
        }
        return;
    }
    const Health before = found->second.record.health;
    const std::uint64_t incarnation = found->second.record.incarnation;
    const MergeChange change = mergeRecord(found->second.record, heard);
    if (change == MergeChange::LoadOnly) {
        ++this->loads;
    } else if (change == MergeChange::State) {
        if (found->second.record.health != before || found->second.record.incarnation != incarnation) {
            found->second.since = now;
        }
        this->stateChanged(heard.name);
    }
}

void MemberTable::apply(const MemberBrief &heard, TimePoint now)
{
    const MemberRecord *known = this->find(heard.name);
    // A brief has no addresses, so it cannot introduce a member or a new incarnation.
    if (known == nullptr || known->incarnation != heard.incarnation) {
        return;
    }
    MemberRecord record = *known;
    record.heartbeat = heard.heartbeat;
    record.health = heard.health;
    record.lifecycle = heard.lifecycle;
    this->apply(record, now);
}

void MemberTable::applySelf(const MemberRecord &heard)
{
    MemberRecord &own = this->table.at(this->selfName).record;
    if (heard.incarnation > own.incarnation) {
        LogLine("membership-name-in-use").add("name", own.name).add("incarnation", heard.incarnation).error();
        return;
    }
    if (heard.incarnation == own.incarnation && heard.health != Health::Alive && heard.heartbeat >= own.heartbeat) {
        own.heartbeat = heard.heartbeat + 1;
        this->stateChanged(this->selfName);
    }
}

void MemberTable::suspect(const std::string &name, TimePoint now)
{
    const auto found = this->table.find(name);
    if (found != this->table.end() && found->second.record.health == Health::Alive && isLive(found->second.record)) {
        this->setHealth(found->second, Health::Suspect, now);
    }
}

void MemberTable::expire(TimePoint now)
{
    const Millis limit = this->suspicionTime();
    for (auto item = this->table.begin(); item != this->table.end();) {
        Entry &entry = item->second;
        if (entry.record.health == Health::Suspect && entry.record.lifecycle != Lifecycle::Left
            && now - entry.since >= limit) {
            this->setHealth(entry, Health::Dead, now);
            LogLine("member-dead").add("name", item->first).add("incarnation", entry.record.incarnation).write();
        }
        if (item->first != this->selfName && !isLive(entry.record) && now - entry.since >= ForgetAfter) {
            item = this->table.erase(item);
            ++this->states;
        } else {
            ++item;
        }
    }
}

void MemberTable::postpone(Clock::duration gap)
{
    for (auto &[name, entry] : this->table) {
        if (entry.record.health == Health::Suspect) {
            entry.since += gap;
        }
    }
}

void MemberTable::setLoad(std::uint32_t load)
{
    MemberRecord &own = this->table.at(this->selfName).record;
    if (own.load != load) {
        own.load = load;
        ++own.stamp;
        ++this->loads;
    }
}

void MemberTable::setConfigRevision(std::uint64_t revision)
{
    MemberRecord &own = this->table.at(this->selfName).record;
    if (revision > own.configRevision) {
        own.configRevision = revision;
        ++this->loads;
    }
}

void MemberTable::setLifecycle(Lifecycle lifecycle)
{
    MemberRecord &own = this->table.at(this->selfName).record;
    if (lifecycle > own.lifecycle) {
        own.lifecycle = lifecycle;
        this->stateChanged(this->selfName);
    }
}

std::uint64_t MemberTable::stateVersion() const
{
    return this->states;
}

std::uint64_t MemberTable::loadVersion() const
{
    return this->loads;
}

Millis MemberTable::suspicionTime() const
{
    // Refutations take longer to arrive in a larger fleet. The factor grows from 1 at 100 members.
    const double factor = std::max(1.0, std::log10(static_cast<double>(this->table.size())) - 1.0);
    return Millis(static_cast<std::int64_t>(static_cast<double>(this->suspicion.count()) * factor));
}

void MemberTable::stateChanged(const std::string &name)
{
    ++this->states;
    this->changed(name);
}

void MemberTable::setHealth(Entry &entry, Health health, TimePoint now)
{
    entry.record.health = health;
    entry.since = now;
    this->stateChanged(entry.record.name);
}

}
