#include "membership.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>

// The part of Membership that requests and serves pages of the member list.
namespace Cyclamen
{

namespace
{

constexpr int PageAttemptsPerPeer = 3;

}

void Membership::startResync(TimePoint now)
{
    if (!this->nextResyncTime) {
        this->nextResyncTime = now + this->resyncPeriod;
    }
    const auto live = this->table.names(isLive);
    if (now < *this->nextResyncTime || live.empty()) {
        return;
    }
    this->nextResyncTime = now + this->resyncPeriod;
    this->resyncPeriod = std::min(2 * this->resyncPeriod, MaxResyncPeriod);
    this->pageAfter.clear();
    this->pagePeers = {this->table.find(live[this->random() % live.size()])->gossipAddress};
}

void Membership::requestPage(TimePoint now)
{
    if (this->pageAttempts++ >= PageAttemptsPerPeer) {
        this->pageAttempts = 1;
        ++this->pagePeerIndex;
        if (!this->joined) {
            // Members that have contacted this entry can serve pages as well as the configured peers.
            this->pagePeers = this->settings.joinAddresses;
            for (const std::string &name : this->table.names(isLive)) {
                this->pagePeers.push_back(this->table.find(name)->gossipAddress);
            }
        } else {
            // A periodic resync is not urgent; the next one asks another peer.
            this->pagePeers.clear();
            return;
        }
    }
    this->pageNumber = this->random();
    this->pageRetryTime = now + this->settings.probePeriod;
    GossipMessage ping;
    ping.number = this->pageNumber;
    ping.page = GossipMessage::Page::Requested;
    ping.pageAfter = this->pageAfter;
    ping.items.emplace_back(this->table.self());
    this->hooks.send(this->pagePeers[this->pagePeerIndex % this->pagePeers.size()], DatagramKind::Ping,
                     encodeGossip(ping));
}

void Membership::handlePage(const Datagram &datagram, const GossipMessage &message, TimePoint now)
{
    this->pageAttempts = 0;
    if (message.page == GossipMessage::Page::Last) {
        if (!this->joined) {
            LogLine("membership-joined")
                .add("peer", datagram.sender)
                .add("members", std::uint64_t(this->table.liveCount()))
                .write();
        }
        this->joined = true;
        this->pagePeers.clear();
        return;
    }
    // The next page is requested from a random member, so that many entries that start at the same time do not overload
    // the few configured peers.
    const auto live = this->table.names(isLive);
    if (!live.empty()) {
        this->pagePeers = {this->table.find(live[this->random() % live.size()])->gossipAddress};
    }
    if (message.page == GossipMessage::Page::More) {
        this->pageAfter = message.pageAfter;
        // The first lists are read without a pause. Later pages are requested at the probe period to limit the
        // bandwidth.
        if (!this->joined || this->resyncPeriod <= MaxUrgentResyncPeriod) {
            this->requestPage(now);
        }
    }
}

GossipMessage Membership::makePage(const std::string &after, std::uint64_t number)
{
    GossipMessage page;
    page.number = number;
    page.page = GossipMessage::Page::Last;
    page.items.emplace_back(this->table.self());
    std::size_t bytes = encodedSize(page) + encodedSize(page.items.front()) + UINT8_MAX;
    std::string last = after;
    while (true) {
        const MemberRecord &record = this->table.next(last);
        if (record.name <= last) {
            break; // next() has wrapped around.
        }
        last = record.name;
        if (!isLive(record)) {
            continue;
        }
        bytes += encodedSize(GossipItem(record));
        if (bytes > MaxPageBytes) {
            page.page = GossipMessage::Page::More;
            break;
        }
        page.items.emplace_back(record);
        page.pageAfter = record.name;
    }
    return page;
}

}
