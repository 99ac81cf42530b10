#pragma once

#include "memberrecord.h"
#include "memberstatus.h"

#include "cyclamencross/base/timing.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The states of all members as this entry knows them, and the rules for updating them. Not thread-safe; the current
/// time is passed in.
class MemberTable
{
public:
    /// Called with the name of each member whose state has changed, so that the change is spread.
    using ChangeHook = std::function<void(const std::string &name)>;

    /// Time for which members that are dead or have left are remembered, so that late gossip does not bring them back.
    static constexpr Millis ForgetAfter{600000};

    /// @param suspicion time after which a suspect is declared dead, in fleets of up to 100 members.
    MemberTable(MemberRecord self, Millis suspicion, ChangeHook changed);

    const MemberRecord &self() const;
    /// Returns the record of @p name, or null if the member is unknown.
    const MemberRecord *find(const std::string &name) const;
    /// Returns all members, including self, sorted by name.
    std::vector<Member> members() const;
    /// Returns the sorted names of the members other than self that satisfy @p condition.
    std::vector<std::string> names(const std::function<bool(const MemberRecord &)> &condition) const;
    /// Returns the member after @p name in the order of names, or the first one after the last.
    const MemberRecord &next(const std::string &name) const;
    /// Returns the number of live members, including self.
    std::size_t liveCount() const;
    std::size_t size() const;

    /// Merges gossip about a member. If it declares self suspect or dead, increments the heartbeat to refute it.
    void apply(const MemberRecord &received, TimePoint now);
    void apply(const MemberStatus &received, TimePoint now);
    /// Marks a member that did not answer as suspect.
    void suspect(const std::string &name, TimePoint now);
    /// Declares suspects dead after suspicionTime() and removes members that have been dead or left for ForgetAfter.
    void expire(TimePoint now);
    /// Extends all suspicions by @p gap, during which this entry was paused and could not receive refutations.
    void extendSuspicions(Clock::duration gap);

    void setLoad(std::uint32_t load);
    void setConfigRevision(std::uint64_t revision);
    void setLifecycle(Lifecycle lifecycle);

    /// Incremented by each change of a member's state.
    std::uint64_t stateVersion() const;
    /// Incremented by each change of a load or a configuration revision.
    std::uint64_t loadVersion() const;
    /// Returns how long a suspicion lasts at the current size of the fleet.
    Millis suspicionTime() const;

private:
    struct Entry
    {
        MemberRecord record;
        TimePoint healthSince; ///< When its health last changed.
    };
    void applySelf(const MemberRecord &received);
    /// Increments stateVersion() and calls the change hook.
    void notifyStateChange(const std::string &name);
    void setHealth(Entry &entry, Health health, TimePoint now);

    std::string selfName;
    Millis suspicion;
    ChangeHook changed;
    std::map<std::string, Entry> table;
    std::uint64_t stateCounter = 1;
    std::uint64_t loadCounter = 1;
};

}
