#include "membership.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

namespace
{

// Prefixes of keys in the update queue.
constexpr auto MemberPrefix = "member/";
constexpr auto CrashPrefix = "crash/";
constexpr auto BackendPrefix = "backend/";
constexpr auto LiftPrefix = "lift/";

// Members that are notified immediately when this entry leaves, since its process may end before the next probe.
constexpr std::size_t LeaveNotificationCount = 10;
// Members that are notified immediately of a crash. Crashes are rare, so notifying all entries of a small site stays
// within the byte budget.
constexpr std::size_t CrashNotificationCount = 32;

MemberStatus toStatus(const MemberRecord &record)
{
    return MemberStatus{record.name, record.incarnation, record.heartbeat, record.health, record.lifecycle};
}

// Alive and running members are sent with their addresses, since some receivers may not know them yet.
GossipItem toItem(const MemberRecord &record)
{
    const bool normal = record.health == Health::Alive && record.lifecycle == Lifecycle::Running;
    return normal ? GossipItem(record) : GossipItem(toStatus(record));
}

}

Membership::Membership(const Settings &settings, const Member &self, Hooks hooks, std::uint64_t seed)
    : settings(settings)
    , hooks(std::move(hooks))
    , random(seed)
    , table(initialRecord(self), settings.suspicion,
            [this](const std::string &name) { this->queue.push(MemberPrefix + name); })
    , prober(settings.probeTimeout, settings.probePeriod)
    , memberCursor(toHex(seed))
{
    std::erase(this->settings.joinAddresses, self.gossipAddress);
    this->joined = this->settings.joinAddresses.empty();
    this->pagePeers = this->settings.joinAddresses;
}

void Membership::tick(TimePoint now)
{
    if (this->lastTickTime && now - *this->lastTickTime > 2 * this->settings.probePeriod) {
        // This process was paused, so missing responses do not mean that its peers have failed.
        LogLine("membership-paused")
            .add("ms", std::int64_t(std::chrono::duration_cast<Millis>(now - *this->lastTickTime).count()))
            .warn();
        this->table.extendSuspicions(now - *this->lastTickTime);
        this->prober.cancelAll();
    }
    this->lastTickTime = now;
    const Prober::Due due = this->prober.due(now);
    for (const std::string &name : due.unanswered) {
        this->table.suspect(name, now);
    }
    for (const auto &[name, number] : due.indirect) {
        this->probeIndirectly(name, number);
    }
    this->table.expire(now);
    if (this->pagePeers.empty()) {
        this->startResync(now);
    } else if (now >= this->pageRetryTime) {
        this->requestPage(now);
    }
    if (!this->nextProbeTime || now >= *this->nextProbeTime) {
        this->nextProbeTime =
            std::max(this->nextProbeTime.value_or(now), now - this->settings.probePeriod) + this->settings.probePeriod;
        this->probe(now);
    }
}

void Membership::probe(TimePoint now)
{
    if (++this->probeCount % ProbesPerRejoin == 0) {
        this->rejoin();
    }
    const auto name = this->prober.next(this->table.names(isLive), this->random);
    if (!name) {
        return;
    }
    const MemberRecord &target = *this->table.find(*name);
    GossipMessage ping;
    ping.number = this->prober.begin(*name, now);
    this->send(target.gossipAddress, DatagramKind::Ping, std::move(ping), &target);
}

void Membership::probeIndirectly(const std::string &name, std::uint64_t number)
{
    const MemberRecord *target = this->table.find(name);
    if (target == nullptr) {
        return;
    }
    std::vector<std::string> helpers = this->table.names([&name](const MemberRecord &record) {
        return record.name != name && record.health == Health::Alive && record.lifecycle != Lifecycle::Left;
    });
    std::shuffle(helpers.begin(), helpers.end(), this->random);
    helpers.resize(std::min<std::size_t>(helpers.size(), IndirectProbes));
    for (const std::string &helper : helpers) {
        GossipMessage request;
        request.number = number;
        request.target = target->gossipAddress;
        this->send(this->table.find(helper)->gossipAddress, DatagramKind::PingRequest, std::move(request), nullptr);
    }
}

void Membership::rejoin()
{
    std::vector<std::string> addresses = this->settings.joinAddresses;
    const auto dead = this->table.names([](const MemberRecord &record) {
        return record.health == Health::Dead && record.lifecycle != Lifecycle::Left;
    });
    for (const std::string &name : dead) {
        addresses.push_back(this->table.find(name)->gossipAddress);
    }
    for (const std::string &name : this->table.names(isLive)) {
        std::erase(addresses, this->table.find(name)->gossipAddress);
    }
    if (addresses.empty()) {
        return;
    }
    const std::string &address = addresses[this->random() % addresses.size()];
    const MemberRecord *subject = nullptr;
    for (const std::string &name : dead) {
        subject = this->table.find(name)->gossipAddress == address ? this->table.find(name) : subject;
    }
    this->send(address, DatagramKind::Ping, GossipMessage{}, subject);
}

bool Membership::receive(const Datagram &datagram, TimePoint now)
{
    const auto message = decodeGossip(datagram.payload);
    if (!message || datagram.sender == this->settings.name) {
        return message.has_value();
    }
    this->lastReceived = now;
    this->applyItems(*message, now);
    const auto *sender = message->items.empty() ? nullptr : std::get_if<MemberRecord>(&message->items.front());
    if (sender != nullptr && sender->configRevision > this->table.self().configRevision) {
        this->hooks.onNewerConfig(*sender);
    }
    if (datagram.kind == DatagramKind::Ping) {
        this->handlePing(datagram, *message, now);
    } else if (datagram.kind == DatagramKind::PingRequest) {
        this->handlePingRequest(datagram, *message, now);
    } else if (!this->pagePeers.empty() && message->number == this->pageNumber) {
        this->handlePage(datagram, *message, now);
    } else if (const auto relay = this->prober.acknowledge(message->number)) {
        GossipMessage ack;
        ack.number = relay->number;
        this->send(relay->requester, DatagramKind::Ack, std::move(ack), nullptr);
    }
    return true;
}

void Membership::handlePing(const Datagram &datagram, const GossipMessage &message, TimePoint now)
{
    if (now - this->pageWindowStart >= std::chrono::seconds(1)) {
        this->pageWindowStart = now;
        this->pagesInWindow = 0;
    }
    // Beyond the limit, a normal Ack is sent, whose items tell the joining entry about other members to ask.
    if (message.page == GossipMessage::Page::Requested && this->pagesInWindow++ < PagesPerSecond) {
        this->hooks.send(datagram.from, DatagramKind::Ack,
                         encodeGossip(this->makePage(message.pageAfter, message.number)));
        return;
    }
    GossipMessage ack;
    ack.number = message.number;
    this->send(datagram.from, DatagramKind::Ack, std::move(ack), this->table.find(datagram.sender));
}

void Membership::handlePingRequest(const Datagram &datagram, const GossipMessage &message, TimePoint now)
{
    GossipMessage ping;
    ping.number = this->prober.beginRelay(Prober::Relay{datagram.from, message.number}, now);
    this->send(message.target, DatagramKind::Ping, std::move(ping), nullptr);
}

void Membership::applyItems(const GossipMessage &message, TimePoint now)
{
    for (const GossipItem &item : message.items) {
        if (const auto *record = std::get_if<MemberRecord>(&item)) {
            this->table.apply(*record, now);
        } else if (const auto *status = std::get_if<MemberStatus>(&item)) {
            this->table.apply(*status, now);
        } else if (const auto *report = std::get_if<CrashReport>(&item)) {
            if (this->hooks.onCrash(*report)) {
                this->queueCrash(*report);
            }
        } else if (const auto *departure = std::get_if<BackendDeparture>(&item)) {
            if (this->hooks.onBackendDeparture(*departure)) {
                this->disseminate(*departure);
            }
        } else if (const auto *lift = std::get_if<CrashLift>(&item)) {
            const auto seen = this->latestLifts.find(lift->fingerprint);
            if (seen == this->latestLifts.end() || lift->upTo > seen->second) {
                this->hooks.onCrashLift(*lift);
                this->disseminate(*lift);
            }
        }
    }
}

void Membership::setLoad(std::uint32_t load)
{
    this->table.setLoad(load);
}

void Membership::setConfigRevision(std::uint64_t revision)
{
    this->table.setConfigRevision(revision);
}

void Membership::drain()
{
    this->table.setLifecycle(Lifecycle::Draining);
}

std::vector<std::string> Membership::randomLiveMembers(std::size_t maxCount)
{
    std::vector<std::string> peers = this->table.names(isLive);
    std::shuffle(peers.begin(), peers.end(), this->random);
    peers.resize(std::min(peers.size(), maxCount));
    return peers;
}

void Membership::leave()
{
    this->table.setLifecycle(Lifecycle::Left);
    for (const std::string &name : this->randomLiveMembers(LeaveNotificationCount)) {
        this->send(this->table.find(name)->gossipAddress, DatagramKind::Ping, GossipMessage{}, nullptr);
    }
}

void Membership::disseminate(const CrashReport &report)
{
    this->queueCrash(report);
    // The caller may retry the request through another entry within milliseconds, before the next probe is sent.
    for (const std::string &name : this->randomLiveMembers(CrashNotificationCount)) {
        GossipMessage notification;
        notification.items.emplace_back(report);
        this->send(this->table.find(name)->gossipAddress, DatagramKind::Ping, std::move(notification), nullptr);
    }
}

void Membership::queueCrash(const CrashReport &report)
{
    this->queueUpdate(CrashPrefix + toHex(report.fingerprint) + report.backend + std::to_string(report.unixTime)
                          + report.reporter,
                      report);
}

void Membership::disseminate(const CrashLift &lift)
{
    if (this->latestLifts.size() >= MaxUpdates && !this->latestLifts.contains(lift.fingerprint)) {
        this->latestLifts.erase(std::min_element(this->latestLifts.begin(), this->latestLifts.end(),
                                                 [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    this->latestLifts[lift.fingerprint] = lift.upTo;
    this->queueUpdate(LiftPrefix + toHex(lift.fingerprint), lift);
}

void Membership::disseminate(const BackendDeparture &departure)
{
    this->queueUpdate(BackendPrefix + departure.address, departure);
}

void Membership::queueUpdate(const std::string &key, const GossipItem &item)
{
    if (this->updates.size() < MaxUpdates) {
        this->updates.insert_or_assign(key, item);
        this->queue.push(key);
    }
}

void Membership::setActiveCrashes(std::vector<CrashReport> crashes)
{
    this->activeCrashes = std::move(crashes);
}

const MemberTable &Membership::members() const
{
    return this->table;
}

std::optional<TimePoint> Membership::lastReceiveTime() const
{
    return this->lastReceived;
}

bool Membership::hasJoined() const
{
    return this->joined;
}

void Membership::send(const std::string &address, DatagramKind kind, GossipMessage message, const MemberRecord *subject)
{
    message.items.insert(message.items.begin(), this->table.self());
    if (subject != nullptr && subject->health != Health::Alive) {
        message.items.emplace_back(toStatus(*subject));
    }
    std::size_t used = encodedSize(message);
    for (const GossipItem &item : message.items) {
        used += encodedSize(item);
    }
    this->appendUpdates(message, MaxMessageBytes > used ? MaxMessageBytes - used : 0);
    this->hooks.send(address, kind, encodeGossip(message));
}

void Membership::appendUpdates(GossipMessage &message, std::size_t room)
{
    const auto add = [&message, &room](const GossipItem &item) {
        const std::size_t bytes = encodedSize(item);
        if (bytes > room) {
            return false;
        }
        room -= bytes;
        message.items.push_back(item);
        return true;
    };
    const auto dropped = this->queue.offerUpdates(this->retransmitLimit(), [this, &add](const std::string &key) {
        const auto item = this->updateItem(key);
        return !item || add(*item);
    });
    for (const std::string &key : dropped) {
        this->updates.erase(key);
    }
    if (!this->activeCrashes.empty()) {
        add(this->activeCrashes[this->crashCursor++ % this->activeCrashes.size()]);
    }
    // The remaining room is filled with the members in turn, which spreads their loads and repairs lost updates.
    for (std::size_t i = 0; i < this->table.size(); ++i) {
        const MemberRecord &record = this->table.next(this->memberCursor);
        if (record.name != this->settings.name && !add(toItem(record))) {
            break;
        }
        this->memberCursor = record.name;
    }
}

std::optional<GossipItem> Membership::updateItem(const std::string &key) const
{
    if (key.starts_with(MemberPrefix)) {
        const std::string name = key.substr(std::string_view(MemberPrefix).size());
        const MemberRecord *record = this->table.find(name);
        // Each message already starts with the record of this entry.
        return record == nullptr || name == this->settings.name ? std::nullopt : std::optional(toItem(*record));
    }
    const auto found = this->updates.find(key);
    return found == this->updates.end() ? std::nullopt : std::optional(found->second);
}

int Membership::retransmitLimit() const
{
    return static_cast<int>(std::ceil(3 * std::log2(static_cast<double>(this->table.liveCount()) + 1)));
}

}
