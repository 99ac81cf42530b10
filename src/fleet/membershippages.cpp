#include "membership.h"

#include "cyclamencross/base/logline.h"

#include <algorithm>

// The part of Membership that reads and serves the member list in pages.
namespace Cyclamen
{

namespace
{

constexpr int PageTriesPerPeer = 3;

}

void Membership::startResync(TimePoint now)
{
    if (!this->nextResync) {
        this->nextResync = now + this->resyncPeriod;
    }
    const auto live = this->table.names(isLive);
    if (now < *this->nextResync || live.empty()) {
        return;
    }
    this->nextResync = now + this->resyncPeriod;
    this->resyncPeriod = std::min(2 * this->resyncPeriod, LongestResync);
    this->pageAfter.clear();
    this->pagePeers = {this->table.find(live[this->random() % live.size()])->gossipAddress};
}

void Membership::askForPage(TimePoint now)
{
    if (this->pageTries++ >= PageTriesPerPeer) {
        this->pageTries = 1;
        ++this->pagePeer;
        if (!this->joined) {
            // A member that found this entry first serves as well as a configured peer.
            this->pagePeers = this->settings.joinAddresses;
            for (const std::string &name : this->table.names(isLive)) {
                this->pagePeers.push_back(this->table.find(name)->gossipAddress);
            }
        } else {
            // A later resync is not urgent; the next one asks another peer.
            this->pagePeers.clear();
            return;
        }
    }
    this->pageNumber = this->random();
    this->pageRetry = now + this->settings.probePeriod;
    GossipMessage ping;
    ping.number = this->pageNumber;
    ping.page = GossipMessage::Page::Wanted;
    ping.pageAfter = this->pageAfter;
    ping.items.emplace_back(this->table.self());
    this->hooks.send(this->pagePeers[this->pagePeer % this->pagePeers.size()], DatagramKind::Ping, encodeGossip(ping));
}

void Membership::takePage(const Datagram &datagram, const GossipMessage &message, TimePoint now)
{
    this->pageTries = 0;
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
    // Another member serves the next page, so that many entries that start at once do not all wait for the few
    // configured peers.
    const auto live = this->table.names(isLive);
    if (!live.empty()) {
        this->pagePeers = {this->table.find(live[this->random() % live.size()])->gossipAddress};
    }
    if (message.page == GossipMessage::Page::More) {
        this->pageAfter = message.pageAfter;
        // An entry reads its first lists without a pause. Later ones are read at the pace of the probes, to bound the
        // bytes.
        if (!this->joined || this->resyncPeriod <= LongestHurry) {
            this->askForPage(now);
        }
    }
}

GossipMessage Membership::makePage(const std::string &after, std::uint64_t number)
{
    GossipMessage page;
    page.number = number;
    page.page = GossipMessage::Page::Last;
    page.items.emplace_back(this->table.self());
    std::size_t bytes = wireBytes(page) + wireBytes(page.items.front()) + UINT8_MAX;
    std::string last = after;
    while (true) {
        const MemberRecord &record = this->table.next(last);
        if (record.name <= last) {
            break; // The names begin again.
        }
        last = record.name;
        if (!isLive(record)) {
            continue;
        }
        bytes += wireBytes(GossipItem(record));
        if (bytes > PageBytes) {
            page.page = GossipMessage::Page::More;
            break;
        }
        page.items.emplace_back(record);
        page.pageAfter = record.name;
    }
    return page;
}

}
