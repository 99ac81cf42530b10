// The part of RouterState that knows from which backend servers this router and its peers are cut off.

#include "routerstate.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>

namespace Cyclamen
{

std::vector<BackendServer> RouterState::serversOf(const std::string &service) const
{
    std::vector<BackendServer> result;
    this->backends.forEach([&](const std::string & /*id*/, const BackendServer &server) {
        if (server.service == service && !server.draining) {
            result.push_back(server);
        }
    });
    return result;
}

bool RouterState::isCutOff(const std::string &service) const
{
    const TimePoint now = this->environment.now();
    // Most of the time no server is out of reach, and the servers need not be listed.
    return this->reach.unreachable(service, now) > 0 && this->reach.isCutOff(service, this->serversOf(service), now);
}

bool RouterState::mayBeCutOff(const std::string &service) const
{
    const TimePoint now = this->environment.now();
    return this->reach.unreachable(service, now) > 0
        && this->reach.mayBeCutOff(service, this->serversOf(service).size(), now);
}

void RouterState::recordReach(const BackendServer &server, bool reached)
{
    const bool before = this->isCutOff(server.service);
    if (reached) {
        this->reach.recordReached(server.service, server.id);
    } else {
        this->reach.recordUnreachable(server.service, server.id, this->environment.now());
    }
    const bool after = this->isCutOff(server.service);
    if (before == after) {
        return;
    }
    LogLine("service-reach").add("service", server.service).add("cut_off", after).add("backend", server.id).warn();
    this->metrics.set("cyclamencross_service_cut_off", after ? 1 : 0, {{"service", server.service}});
    if (after) {
        // Open connections may have gone silent for good.
        for (const BackendServer &one : this->serversOf(server.service)) {
            this->connections.closeIdle(one.id + one.address);
        }
    }
}

std::set<std::string> RouterState::cutOffServices() const
{
    std::set<std::string> result;
    for (std::string &service : this->reach.services(this->environment.now())) {
        if (this->isCutOff(service)) {
            result.insert(std::move(service));
        }
    }
    return result;
}

bool RouterState::isPeerCutOff(const std::string &name) const
{
    const auto told = this->peerCutOff.find(name);
    return told != this->peerCutOff.end() && this->environment.now() - told->second.second <= PeerCutOffLifetime;
}

std::optional<RouterMember> RouterState::choosePeer(const std::string &service, const std::set<std::string> &excluded)
{
    std::vector<RouterMember> all;
    std::vector<RouterMember> ofOwnZone;
    std::size_t inOwnZone = 0;
    this->members.forEach([&](const std::string &name, const RouterMember &member) {
        if (name == this->settings.name || excluded.contains(name)) {
            return;
        }
        const bool isNear = member.zone == this->settings.zone;
        inOwnZone += isNear ? 1 : 0;
        if (!this->isPeerCutOff(name) || !this->peerCutOff.at(name).first.contains(service)) {
            all.push_back(member);
            if (isNear) {
                ofOwnZone.push_back(member);
            }
        }
    });
    // If most of the zone is cut off, the few others could not bear its requests.
    const std::vector<RouterMember> &peers = 2 * ofOwnZone.size() >= inOwnZone && !ofOwnZone.empty() ? ofOwnZone : all;
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers[std::size_t(this->random() * double(peers.size())) % peers.size()];
}

}
