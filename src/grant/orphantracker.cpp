#include "orphantracker.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// Replaced incarnations are remembered only to cancel sooner, so their number is bounded by starting anew.
constexpr std::size_t MaxReplaced = 4096;

}

OrphanTracker::OrphanTracker(Millis suspicion)
    : suspicion(suspicion)
{
}

void OrphanTracker::learn(const FleetView &view)
{
    if (this->learned == &view) {
        return;
    }
    this->learned = &view;
    for (const Member &member : view.members) {
        const auto [known, isNew] = this->newest.emplace(member.name, member.incarnation);
        if (!isNew && known->second != member.incarnation) {
            if (this->replaced.size() >= MaxReplaced) {
                this->replaced.clear();
            }
            this->replaced.emplace(member.name, known->second);
            this->replaced.erase({member.name, member.incarnation});
            known->second = member.incarnation;
        }
    }
}

OrphanTracker::Standing OrphanTracker::standing(const std::string &requestId, const FleetView &view) const
{
    const auto name = parseRequestId(requestId);
    if (!name || (name->entry == view.self.name && name->incarnation == view.self.incarnation)) {
        return Standing::Alive;
    }
    const auto member =
        std::lower_bound(view.members.begin(), view.members.end(), name->entry,
                         [](const Member &other, const std::string &entry) { return other.name < entry; });
    if (member != view.members.end() && member->name == name->entry && member->incarnation == name->incarnation) {
        const bool isGone = member->state == MemberState::Dead || member->state == MemberState::Left;
        return isGone ? Standing::Dead : Standing::Alive;
    }
    return this->replaced.contains({name->entry, name->incarnation}) ? Standing::Dead : Standing::Unknown;
}

bool OrphanTracker::isDead(const std::string &requestId, const FleetView &view)
{
    const std::scoped_lock lock(this->mutex);
    this->learn(view);
    return !view.isolated && this->standing(requestId, view) == Standing::Dead;
}

std::vector<OrphanTracker::Orphan> OrphanTracker::update(const std::string &engine,
                                                         const std::vector<HeldRequest> &list, const FleetView &view,
                                                         TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    this->learn(view);
    Engine &record = this->engines[engine];
    // After a pause of this process its own observations prove nothing: the other side had no chance to be seen.
    const bool isResumed = now - record.updated > std::min(this->suspicion, UnattachedLimit) || view.isolated;
    const std::map<std::string, Observed> before = isResumed ? std::map<std::string, Observed>() : record.requests;
    record.updated = now;
    record.requests.clear();
    std::vector<Orphan> orphans;
    for (const HeldRequest &request : list) {
        const Standing standing = this->standing(request.requestId, view);
        const auto earlier = before.find(request.requestId);
        Observed observed{now, now};
        if (earlier != before.end()) {
            observed = earlier->second;
        }
        observed.unknownSince = standing == Standing::Unknown ? observed.unknownSince : now;
        observed.unattachedSince = request.attached ? now : observed.unattachedSince;
        record.requests[request.requestId] = observed;
        if (view.isolated) {
            continue;
        }
        if (standing == Standing::Dead) {
            orphans.push_back({request.requestId, "entry-dead"});
        } else if (standing == Standing::Unknown && now - observed.unknownSince > this->suspicion) {
            orphans.push_back({request.requestId, "entry-unknown"});
        } else if (now - observed.unattachedSince > UnattachedLimit) {
            orphans.push_back({request.requestId, "unattached"});
        }
    }
    return orphans;
}

void OrphanTracker::forget(const std::string &engine)
{
    const std::scoped_lock lock(this->mutex);
    this->engines.erase(engine);
}

}
