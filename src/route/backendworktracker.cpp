#include "cyclamencross/route/backendworktracker.h"

#include <utility>

namespace Cyclamen
{

void BackendWorkTracker::add(const std::string &backend, const BackendWork &work)
{
    this->ownWork[backend] += work;
}

void BackendWorkTracker::remove(const std::string &backend, const BackendWork &work)
{
    const auto it = this->ownWork.find(backend);
    if (it == this->ownWork.end()) {
        return;
    }
    it->second -= work;
    if (it->second == BackendWork()) {
        this->ownWork.erase(it);
    }
}

void BackendWorkTracker::setPeerWork(const std::string &peer, std::map<std::string, BackendWork> work, TimePoint now)
{
    PeerWork &current = this->peers[peer];
    this->updatePeerTotals(current.work, false);
    current = PeerWork{std::move(work), now};
    this->updatePeerTotals(current.work, true);
}

void BackendWorkTracker::expire(TimePoint now)
{
    std::erase_if(this->peers, [this, now](const auto &item) {
        const bool expired = now - item.second.received > PeerReportLifetime;
        if (expired) {
            this->updatePeerTotals(item.second.work, false);
        }
        return expired;
    });
}

BackendWork BackendWorkTracker::total(const std::string &backend) const
{
    BackendWork sum;
    if (const auto it = this->ownWork.find(backend); it != this->ownWork.end()) {
        sum += it->second;
    }
    if (const auto it = this->peerTotals.find(backend); it != this->peerTotals.end()) {
        sum += it->second;
    }
    return sum;
}

std::map<std::string, BackendWork> BackendWorkTracker::totals(const std::string &from, const std::string &to) const
{
    std::map<std::string, BackendWork> result;
    for (const auto *works : {&this->ownWork, &this->peerTotals}) {
        for (auto it = works->lower_bound(from); it != works->end() && it->first < to; ++it) {
            result[it->first] += it->second;
        }
    }
    return result;
}

const std::map<std::string, BackendWork> &BackendWorkTracker::own() const
{
    return this->ownWork;
}

void BackendWorkTracker::updatePeerTotals(const std::map<std::string, BackendWork> &work, bool isAdded)
{
    for (const auto &[backend, backendWork] : work) {
        BackendWork &total = this->peerTotals[backend];
        if (isAdded) {
            total += backendWork;
        } else {
            total -= backendWork;
        }
        if (total == BackendWork()) {
            this->peerTotals.erase(backend);
        }
    }
}

}
