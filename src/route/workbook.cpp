#include "cyclamencross/route/workbook.h"

#include <utility>

namespace Cyclamen
{

void WorkBook::add(const std::string &backend, const BackendWork &work)
{
    this->ownWork[backend] += work;
}

void WorkBook::remove(const std::string &backend, const BackendWork &work)
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

void WorkBook::setPeer(const std::string &peer, std::map<std::string, BackendWork> work, TimePoint now)
{
    PeerWork &current = this->peers[peer];
    this->updatePeerTotals(current.work, false);
    current = PeerWork{std::move(work), now};
    this->updatePeerTotals(current.work, true);
}

void WorkBook::expire(TimePoint now)
{
    std::erase_if(this->peers, [this, now](const auto &item) {
        const bool expired = now - item.second.received > PeerReportLifetime;
        if (expired) {
            this->updatePeerTotals(item.second.work, false);
        }
        return expired;
    });
}

BackendWork WorkBook::total(const std::string &backend) const
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

const std::map<std::string, BackendWork> &WorkBook::own() const
{
    return this->ownWork;
}

void WorkBook::updatePeerTotals(const std::map<std::string, BackendWork> &work, bool isAdded)
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
