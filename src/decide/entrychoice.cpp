#include "cyclamencross/decide/entrychoice.h"

#include "cyclamencross/decide/rendezvous.h"

#include <cmath>
#include <map>

namespace Cyclamen
{

namespace
{

// Largest load of a chosen entry, relative to the mean.
constexpr double MaxRelativeLoad = 1.25;

}

std::optional<Member> chooseEntry(const std::string &workspace, const std::string &session, const std::string &region,
                                  const std::vector<Member> &members)
{
    std::map<std::string, const Member *> byName;
    for (const Member &member : members) {
        if (isAvailable(member) && member.region == region) {
            byName[member.name] = &member;
        }
    }
    if (byName.empty()) {
        for (const Member &member : members) {
            if (isAvailable(member)) {
                byName[member.name] = &member;
            }
        }
    }
    if (byName.empty()) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    double total = 0;
    for (const auto &[name, member] : byName) {
        names.push_back(name);
        total += member->load;
    }
    // Rounded up so that on an almost idle fleet a single request does not move sessions to other entries.
    const double maxLoad = std::ceil(MaxRelativeLoad * total / static_cast<double>(names.size()));
    // The separator distinguishes ("ab", "c") from ("a", "bc").
    const auto order = rendezvousOrder(workspace + '\n' + session, names);
    for (const std::string &name : order) {
        if (byName.at(name)->load <= maxLoad) {
            return *byName.at(name);
        }
    }
    return *byName.at(order.front());
}

}
