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

void MemberTable::apply(const MemberRecord &received, TimePoint now)
{
    if (received.name == this->selfName) {
        this->applySelf(received);
        return;
    }
    const auto found = this->table.find(received.name);
    if (found == this->table.end()) {
        // A member that was never known here and is already gone need not be added.
        if (isLive(received)) {
            this->table.emplace(received.name, Entry{received, now});
            this->notifyStateChange(received.name);
        }
        return;
    }
    const Health before = found->second.record.health;
    const std::uint64_t incarnation = found->second.record.incarnation;
    const MergeChange change = mergeRecord(found->second.record, received);
    if (change == MergeChange::LoadOnly) {
        ++this->loadCounter;
    } else if (change == MergeChange::State) {
        if (found->second.record.health != before || found->second.record.incarnation != incarnation) {
            found->second.healthSince = now;
        }
        this->notifyStateChange(received.name);
    }
}

void MemberTable::apply(const MemberStatus &received, TimePoint now)
{
    const MemberRecord *known = this->find(received.name);
    // A status has no addresses, so it cannot add a member or a new incarnation.
    if (known == nullptr || known->incarnation != received.incarnation) {
        return;
    }
    MemberRecord record = *known;
    record.heartbeat = received.heartbeat;
    record.health = received.health;
    record.lifecycle = received.lifecycle;
    this->apply(record, now);
}

void MemberTable::applySelf(const MemberRecord &received)
{
    MemberRecord &selfRecord = this->table.at(this->selfName).record;
    if (received.incarnation > selfRecord.incarnation) {
        LogLine("membership-name-in-use").add("name", selfRecord.name).add("incarnation", received.incarnation).error();
        return;
    }
    if (received.incarnation == selfRecord.incarnation && received.health != Health::Alive
        && received.heartbeat >= selfRecord.heartbeat) {
        selfRecord.heartbeat = received.heartbeat + 1;
        this->notifyStateChange(this->selfName);
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
    const Millis timeout = this->suspicionTime();
    for (auto item = this->table.begin(); item != this->table.end();) {
        Entry &entry = item->second;
        if (entry.record.health == Health::Suspect && entry.record.lifecycle != Lifecycle::Left
            && now - entry.healthSince >= timeout) {
            this->setHealth(entry, Health::Dead, now);
            LogLine("member-dead").add("name", item->first).add("incarnation", entry.record.incarnation).write();
        }
        if (item->first != this->selfName && !isLive(entry.record) && now - entry.healthSince >= ForgetAfter) {
            item = this->table.erase(item);
            ++this->stateCounter;
        } else {
            ++item;
        }
    }
}

void MemberTable::extendSuspicions(Clock::duration gap)
{
    for (auto &[name, entry] : this->table) {
        if (entry.record.health == Health::Suspect) {
            entry.healthSince += gap;
        }
    }
}

void MemberTable::setLoad(std::uint32_t load)
{
    MemberRecord &selfRecord = this->table.at(this->selfName).record;
    if (selfRecord.load != load) {
        selfRecord.load = load;
        ++selfRecord.loadSequence;
        ++this->loadCounter;
    }
}

void MemberTable::setConfigRevision(std::uint64_t revision)
{
    MemberRecord &selfRecord = this->table.at(this->selfName).record;
    if (revision > selfRecord.configRevision) {
        selfRecord.configRevision = revision;
        ++this->loadCounter;
    }
}

void MemberTable::setLifecycle(Lifecycle lifecycle)
{
    MemberRecord &selfRecord = this->table.at(this->selfName).record;
    if (lifecycle > selfRecord.lifecycle) {
        selfRecord.lifecycle = lifecycle;
        this->notifyStateChange(this->selfName);
    }
}

std::uint64_t MemberTable::stateVersion() const
{
    return this->stateCounter;
}

std::uint64_t MemberTable::loadVersion() const
{
    return this->loadCounter;
}

Millis MemberTable::suspicionTime() const
{
    // Refutations take longer to arrive in a larger fleet. The factor is 1 up to 100 members and grows logarithmically.
    const double factor = std::max(1.0, std::log10(static_cast<double>(this->table.size())) - 1.0);
    return Millis(static_cast<std::int64_t>(static_cast<double>(this->suspicion.count()) * factor));
}

void MemberTable::notifyStateChange(const std::string &name)
{
    ++this->stateCounter;
    this->changed(name);
}

void MemberTable::setHealth(Entry &entry, Health health, TimePoint now)
{
    entry.record.health = health;
    entry.healthSince = now;
    this->notifyStateChange(entry.record.name);
}

}
