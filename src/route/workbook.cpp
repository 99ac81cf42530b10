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
    this->peers[peer] = PeerWork{std::move(work), now};
    this->rebuildTotals();
}

void WorkBook::expire(TimePoint now)
{
    const auto expired =
        std::erase_if(this->peers, [now](const auto &item) { return now - item.second.received > PeerLifetime; });
    if (expired > 0) {
        this->rebuildTotals();
    }
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

void WorkBook::rebuildTotals()
{
    this->peerTotals.clear();
    for (const auto &[peer, report] : this->peers) {
        for (const auto &[backend, work] : report.work) {
            this->peerTotals[backend] += work;
        }
    }
}

}
