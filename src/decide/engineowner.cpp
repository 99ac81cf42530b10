#include "cyclamencross/decide/engineowner.h"

#include "cyclamencross/decide/rendezvous.h"

#include <map>
#include <string>

namespace Cyclamen
{

std::vector<Member> ownerOrder(const Backend &engine, const std::vector<Member> &members)
{
    std::map<std::string, const Member *> byName;
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const Member &member : members) {
        if (isAvailable(member) && byName.emplace(member.name, &member).second) {
            (member.zone == engine.zone ? near : far).push_back(member.name);
        }
    }
    std::vector<Member> order;
    order.reserve(byName.size());
    for (const auto &group : {rendezvousOrder(engine.address, near), rendezvousOrder(engine.address, far)}) {
        for (const std::string &name : group) {
            order.push_back(*byName.at(name));
        }
    }
    return order;
}

}
