#include "orphantracker.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

// Replaced incarnations are remembered only to cancel their requests sooner. To bound the memory, all are dropped when
// there are this many.
constexpr std::size_t MaxReplacedIncarnations = 4096;

}

OrphanTracker::OrphanTracker(Millis suspicion)
    : suspicion(suspicion)
{
}

void OrphanTracker::updateIncarnations(const FleetView &view)
{
    if (this->lastView == &view) {
        return;
    }
    this->lastView = &view;
    for (const Member &member : view.members) {
        const auto [known, isNew] = this->latestIncarnations.emplace(member.name, member.incarnation);
        if (!isNew && known->second != member.incarnation) {
            if (this->replacedIncarnations.size() >= MaxReplacedIncarnations) {
                this->replacedIncarnations.clear();
            }
            this->replacedIncarnations.emplace(member.name, known->second);
            this->replacedIncarnations.erase({member.name, member.incarnation});
            known->second = member.incarnation;
        }
    }
}

OrphanTracker::Liveness OrphanTracker::livenessOf(const std::string &requestId, const FleetView &view) const
{
    const auto origin = parseRequestOrigin(requestId);
    if (!origin || (origin->entry == view.self.name && origin->incarnation == view.self.incarnation)) {
        return Liveness::Alive;
    }
    const auto member =
        std::lower_bound(view.members.begin(), view.members.end(), origin->entry,
                         [](const Member &other, const std::string &entry) { return other.name < entry; });
    if (member != view.members.end() && member->name == origin->entry && member->incarnation == origin->incarnation) {
        const bool isGone = member->state == MemberState::Dead || member->state == MemberState::Left;
        return isGone ? Liveness::Dead : Liveness::Alive;
    }
    return this->replacedIncarnations.contains({origin->entry, origin->incarnation}) ? Liveness::Dead
                                                                                     : Liveness::Unknown;
}

bool OrphanTracker::isDead(const std::string &requestId, const FleetView &view)
{
    const std::scoped_lock lock(this->mutex);
    this->updateIncarnations(view);
    return !view.isolated && this->livenessOf(requestId, view) == Liveness::Dead;
}

std::vector<OrphanTracker::Orphan> OrphanTracker::update(const std::string &engine,
                                                         const std::vector<HeldRequest> &list, const FleetView &view,
                                                         TimePoint now)
{
    const std::scoped_lock lock(this->mutex);
    this->updateIncarnations(view);
    EngineRecord &record = this->engines[engine];
    // After a pause of this process, or in isolation, earlier observations are void: other entries could not be
    // observed in between.
    const bool hasGap = now - record.updated > std::min(this->suspicion, UnattachedLimit) || view.isolated;
    const std::map<std::string, Observation> previous = hasGap ? std::map<std::string, Observation>() : record.requests;
    record.updated = now;
    record.requests.clear();
    std::vector<Orphan> orphans;
    for (const HeldRequest &request : list) {
        const Liveness liveness = this->livenessOf(request.requestId, view);
        const auto earlier = previous.find(request.requestId);
        Observation observation{now, now};
        if (earlier != previous.end()) {
            observation = earlier->second;
        }
        observation.unknownSince = liveness == Liveness::Unknown ? observation.unknownSince : now;
        observation.unattachedSince = request.attached ? now : observation.unattachedSince;
        record.requests[request.requestId] = observation;
        if (view.isolated) {
            continue;
        }
        if (liveness == Liveness::Dead) {
            orphans.push_back({request.requestId, "entry-dead"});
        } else if (liveness == Liveness::Unknown && now - observation.unknownSince > this->suspicion) {
            orphans.push_back({request.requestId, "entry-unknown"});
        } else if (now - observation.unattachedSince > UnattachedLimit) {
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
