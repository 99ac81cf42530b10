#pragma once

#include "memberbrief.h"
#include "memberrecord.h"

#include "cyclamencross/base/timing.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// What this entry knows of every member, and the rules by which that changes. Not thread-safe; time is passed in.
class MemberTable
{
public:
    /// Called with the name of a member whose state changed and must be spread.
    using ChangeHook = std::function<void(const std::string &name)>;

    /// Dead members, and those that have left, are remembered this long, so that late news of them does not revive
    /// them.
    static constexpr Millis ForgetAfter{600000};

    MemberTable(MemberRecord self, Millis suspicion, ChangeHook changed);

    const MemberRecord &self() const;
    /// Returns the record of @p name, or null if it is unknown.
    const MemberRecord *find(const std::string &name) const;
    /// Returns all members, including self, sorted by name.
    std::vector<Member> members() const;
    /// Returns the names of the other members that fulfil @p condition.
    std::vector<std::string> names(const std::function<bool(const MemberRecord &)> &condition) const;
    /// Returns the member after @p name in the order of names, beginning again after the last one.
    const MemberRecord &next(const std::string &name) const;
    /// Returns how many members are neither dead nor have left, including self.
    std::size_t liveCount() const;

    std::size_t size() const;

    void apply(const MemberRecord &heard, TimePoint now);
    void apply(const MemberBrief &heard, TimePoint now);
    /// Begins the suspicion of a member that did not answer.
    void suspect(const std::string &name, TimePoint now);
    /// Declares suspects dead whose time is over and forgets members that are gone for long.
    void expire(TimePoint now);
    /// Gives every suspect @p gap more time, for a pause in which this entry could not hear anybody.
    void postpone(Clock::duration gap);

    void setLoad(std::uint32_t load);
    void setConfigRevision(std::uint64_t revision);
    void setLifecycle(Lifecycle lifecycle);

    /// Raised by each change of a member's state.
    std::uint64_t stateVersion() const;
    /// Raised by each change of a load or a configuration revision.
    std::uint64_t loadVersion() const;
    /// Returns how long a suspicion lasts at the present size.
    Millis suspicionTime() const;

private:
    struct Entry
    {
        MemberRecord record;
        TimePoint since; ///< When its health last changed.
    };
    void applySelf(const MemberRecord &heard);
    void stateChanged(const std::string &name);
    void setHealth(Entry &entry, Health health, TimePoint now);

    std::string selfName;
    Millis suspicion;
    ChangeHook changed;
    std::map<std::string, Entry> table;
    std::uint64_t states = 1;
    std::uint64_t loads = 1;
};

}
