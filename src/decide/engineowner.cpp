#include "cyclamencross/decide/engineowner.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/decide/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>

namespace Cyclamen
{

namespace
{

using WeightedMember = std::pair<std::uint64_t, const Member *>;

bool comesBefore(const WeightedMember &a, const WeightedMember &b)
{
    return a.first != b.first ? a.first > b.first : a.second->name < b.second->name;
}

}

std::vector<const Member *> firstOwners(const Backend &engine, const std::vector<Member> &members, std::size_t count)
{
    const std::uint64_t key = hash64(engine.address);
    std::vector<WeightedMember> sameZone;
    std::vector<WeightedMember> otherZones;
    for (const Member &member : members) {
        if (isAvailable(member) && member.zone == engine.zone) {
            sameZone.emplace_back(rendezvousWeight(key, member.name), &member);
        }
    }
    // Most members are in other zones, so their weights are computed only if they are needed.
    for (const Member &member : members) {
        if (sameZone.size() < count && isAvailable(member) && member.zone != engine.zone) {
            otherZones.emplace_back(rendezvousWeight(key, member.name), &member);
        }
    }
    std::vector<const Member *> first;
    for (auto *group : {&sameZone, &otherZones}) {
        const auto wanted = std::min(group->size(), count - first.size());
        std::partial_sort(group->begin(), group->begin() + static_cast<std::ptrdiff_t>(wanted), group->end(),
                          comesBefore);
        for (std::size_t i = 0; i < wanted; ++i) {
            first.push_back((*group)[i].second);
        }
    }
    return first;
}

std::vector<Member> ownerOrder(const Backend &engine, const std::vector<Member> &members)
{
    std::vector<Member> order;
    for (const Member *member : firstOwners(engine, members, members.size())) {
        order.push_back(*member);
    }
    return order;
}

std::vector<Backend> ownedEngines(const std::string &name, const std::vector<Backend> &engines,
                                  const std::vector<Member> &members)
{
    std::map<std::string, std::vector<const Member *>> byZone;
    std::vector<const Member *> all;
    for (const Member &member : members) {
        if (isAvailable(member)) {
            byZone[member.zone].push_back(&member);
            all.push_back(&member);
        }
    }
    std::vector<Backend> owned;
    for (const Backend &engine : engines) {
        const auto zone = byZone.find(engine.zone);
        const auto &candidates = zone == byZone.end() ? all : zone->second;
        const bool isCandidate = std::any_of(candidates.begin(), candidates.end(),
                                             [&name](const Member *member) { return member->name == name; });
        if (!isCandidate) {
            continue;
        }
        const std::uint64_t key = hash64(engine.address);
        WeightedMember best{0, nullptr};
        for (const Member *member : candidates) {
            const WeightedMember next{rendezvousWeight(key, member->name), member};
            best = best.second == nullptr || comesBefore(next, best) ? next : best;
        }
        if (best.second->name == name) {
            owned.push_back(engine);
        }
    }
    return owned;
}

}
