#include "membership.h"

#include "cyclamencross/base/hash.h"
#include "cyclamencross/base/logline.h"

#include <algorithm>
#include <cmath>

namespace Cyclamen
{

namespace
{

// Keys in the update queue.
constexpr auto MemberPrefix = "member/";
constexpr auto CrashPrefix = "crash/";
constexpr auto BackendPrefix = "backend/";
constexpr auto LiftPrefix = "lift/";

// Members that hear directly that this entry has left, in case its process ends before the next probe.
constexpr std::size_t FarewellCount = 10;
// A crash is rare, so telling all entries of a small site at once stays within the byte budget.
constexpr std::size_t CrashAlertCount = 32;

MemberBrief toBrief(const MemberRecord &record)
{
    return MemberBrief{record.name, record.incarnation, record.heartbeat, record.health, record.lifecycle};
}

// A member in normal operation is news to those that do not know it, so its addresses are needed.
GossipItem toItem(const MemberRecord &record)
{
    const bool normal = record.health == Health::Alive && record.lifecycle == Lifecycle::Running;
    return normal ? GossipItem(record) : GossipItem(toBrief(record));
}

}

Membership::Membership(const Settings &settings, const Member &self, Hooks hooks, std::uint64_t seed)
    : settings(settings)
    , hooks(std::move(hooks))
    , random(seed)
    , table(firstRecord(self), settings.suspicion,
            [this](const std::string &name) { this->queue.push(MemberPrefix + name); })
    , prober(settings.probeTimeout, settings.probePeriod)
    , fillCursor(toHex(seed))
{
    std::erase(this->settings.joinAddresses, self.gossipAddress);
    this->joined = this->settings.joinAddresses.empty();
    this->pagePeers = this->settings.joinAddresses;
}

void Membership::tick(TimePoint now)
{
    if (this->lastTick && now - *this->lastTick > 2 * this->settings.probePeriod) {
        // This process was paused, so the silence of its peers says nothing about them.
        LogLine("membership-paused")
            .add("ms", std::int64_t(std::chrono::duration_cast<Millis>(now - *this->lastTick).count()))
            .warn();
        this->table.postpone(now - *this->lastTick);
        this->prober.abandon();
    }
    this->lastTick = now;
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
    } else if (now >= this->pageRetry) {
        this->askForPage(now);
    }
    if (!this->nextProbe || now >= *this->nextProbe) {
        this->nextProbe =
            std::max(this->nextProbe.value_or(now), now - this->settings.probePeriod) + this->settings.probePeriod;
        this->probe(now);
    }
}

void Membership::probe(TimePoint now)
{
    if (++this->probeCount % RejoinEvery == 0) {
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
    const MemberRecord *about = nullptr;
    for (const std::string &name : dead) {
        about = this->table.find(name)->gossipAddress == address ? this->table.find(name) : about;
    }
    this->send(address, DatagramKind::Ping, GossipMessage{}, about);
}

bool Membership::receive(const Datagram &datagram, TimePoint now)
{
    const auto message = decodeGossip(datagram.payload);
    if (!message || datagram.sender == this->settings.name) {
        return message.has_value();
    }
    this->heard = now;
    this->takeItems(*message, now);
    const auto *sender = message->items.empty() ? nullptr : std::get_if<MemberRecord>(&message->items.front());
    if (sender != nullptr && sender->configRevision > this->table.self().configRevision) {
        this->hooks.newerConfig(*sender);
    }
    if (datagram.kind == DatagramKind::Ping) {
        this->answerPing(datagram, *message, now);
    } else if (datagram.kind == DatagramKind::PingRequest) {
        this->answerPingRequest(datagram, *message, now);
    } else if (!this->pagePeers.empty() && message->number == this->pageNumber) {
        this->takePage(datagram, *message, now);
    } else if (const auto relay = this->prober.answered(message->number)) {
        GossipMessage ack;
        ack.number = relay->number;
        this->send(relay->requester, DatagramKind::Ack, std::move(ack), nullptr);
    }
    return true;
}

void Membership::answerPing(const Datagram &datagram, const GossipMessage &message, TimePoint now)
{
    if (now - this->pageSecond >= std::chrono::seconds(1)) {
        this->pageSecond = now;
        this->pagesServed = 0;
    }
    // Beyond the limit, the usual Ack tells the joining entry of other members to ask.
    if (message.page == GossipMessage::Page::Wanted && this->pagesServed++ < PagesPerSecond) {
        this->hooks.send(datagram.from, DatagramKind::Ack,
                         encodeGossip(this->makePage(message.pageAfter, message.number)));
        return;
    }
    GossipMessage ack;
    ack.number = message.number;
    this->send(datagram.from, DatagramKind::Ack, std::move(ack), this->table.find(datagram.sender));
}

void Membership::answerPingRequest(const Datagram &datagram, const GossipMessage &message, TimePoint now)
{
    GossipMessage ping;
    ping.number = this->prober.beginRelay(Prober::Relay{datagram.from, message.number}, now);
    this->send(message.target, DatagramKind::Ping, std::move(ping), nullptr);
}

void Membership::takeItems(const GossipMessage &message, TimePoint now)
{
    for (const GossipItem &item : message.items) {
        if (const auto *record = std::get_if<MemberRecord>(&item)) {
            this->table.apply(*record, now);
        } else if (const auto *brief = std::get_if<MemberBrief>(&item)) {
            this->table.apply(*brief, now);
        } else if (const auto *report = std::get_if<CrashReport>(&item)) {
            if (this->hooks.crash(*report)) {
                this->passOn(*report);
            }
        } else if (const auto *news = std::get_if<BackendNews>(&item)) {
            if (this->hooks.backend(*news)) {
                this->spread(*news);
            }
        } else if (const auto *lift = std::get_if<CrashLift>(&item)) {
            const auto seen = this->liftsSeen.find(lift->fingerprint);
            if (seen == this->liftsSeen.end() || lift->upTo > seen->second) {
                this->hooks.lift(*lift);
                this->spread(*lift);
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

std::vector<std::string> Membership::someLive(std::size_t most)
{
    std::vector<std::string> peers = this->table.names(isLive);
    std::shuffle(peers.begin(), peers.end(), this->random);
    peers.resize(std::min(peers.size(), most));
    return peers;
}

void Membership::leave()
{
    this->table.setLifecycle(Lifecycle::Left);
    for (const std::string &name : this->someLive(FarewellCount)) {
        this->send(this->table.find(name)->gossipAddress, DatagramKind::Ping, GossipMessage{}, nullptr);
    }
}

void Membership::spread(const CrashReport &report)
{
    this->passOn(report);
    // The caller may send the request again through another entry within milliseconds, sooner than the next probe.
    for (const std::string &name : this->someLive(CrashAlertCount)) {
        GossipMessage alert;
        alert.items.emplace_back(report);
        this->send(this->table.find(name)->gossipAddress, DatagramKind::Ping, std::move(alert), nullptr);
    }
}

void Membership::passOn(const CrashReport &report)
{
    this->pushNews(CrashPrefix + toHex(report.fingerprint) + report.backend + std::to_string(report.unixTime)
                       + report.reporter,
                   report);
}

void Membership::spread(const CrashLift &lift)
{
    if (this->liftsSeen.size() >= MaxNews && !this->liftsSeen.contains(lift.fingerprint)) {
        this->liftsSeen.erase(std::min_element(this->liftsSeen.begin(), this->liftsSeen.end(),
                                               [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    this->liftsSeen[lift.fingerprint] = lift.upTo;
    this->pushNews(LiftPrefix + toHex(lift.fingerprint), lift);
}

void Membership::spread(const BackendNews &news)
{
    this->pushNews(BackendPrefix + news.address, news);
}

void Membership::pushNews(const std::string &key, const GossipItem &item)
{
    if (this->news.size() < MaxNews) {
        this->news.insert_or_assign(key, item);
        this->queue.push(key);
    }
}

void Membership::setCrashNews(std::vector<CrashReport> inForce)
{
    this->crashesInForce = std::move(inForce);
}

const MemberTable &Membership::members() const
{
    return this->table;
}

std::optional<TimePoint> Membership::lastHeard() const
{
    return this->heard;
}

bool Membership::hasJoined() const
{
    return this->joined;
}

void Membership::send(const std::string &address, DatagramKind kind, GossipMessage message, const MemberRecord *about)
{
    message.items.insert(message.items.begin(), this->table.self());
    if (about != nullptr && about->health != Health::Alive) {
        message.items.emplace_back(toBrief(*about));
    }
    std::size_t used = wireBytes(message);
    for (const GossipItem &item : message.items) {
        used += wireBytes(item);
    }
    this->fillWithNews(message, MessageBytes > used ? MessageBytes - used : 0);
    this->hooks.send(address, kind, encodeGossip(message));
}

void Membership::fillWithNews(GossipMessage &message, std::size_t room)
{
    const auto add = [&message, &room](const GossipItem &item) {
        const std::size_t bytes = wireBytes(item);
        if (bytes > room) {
            return false;
        }
        room -= bytes;
        message.items.push_back(item);
        return true;
    };
    const auto dropped = this->queue.take(this->sendLimit(), [this, &add](const std::string &key) {
        const auto item = this->newsItem(key);
        return !item || add(*item);
    });
    for (const std::string &key : dropped) {
        this->news.erase(key);
    }
    if (!this->crashesInForce.empty()) {
        add(this->crashesInForce[this->crashCursor++ % this->crashesInForce.size()]);
    }
    // The rest goes to members in turn. It spreads their loads and repairs what was lost.
    for (std::size_t i = 0; i < this->table.size(); ++i) {
        const MemberRecord &record = this->table.next(this->fillCursor);
        if (record.name != this->settings.name && !add(toItem(record))) {
            break;
        }
        this->fillCursor = record.name;
    }
}

std::optional<GossipItem> Membership::newsItem(const std::string &key) const
{
    if (key.starts_with(MemberPrefix)) {
        const std::string name = key.substr(std::string_view(MemberPrefix).size());
        const MemberRecord *record = this->table.find(name);
        // Each message begins with the own record anyway.
        return record == nullptr || name == this->settings.name ? std::nullopt : std::optional(toItem(*record));
    }
    const auto found = this->news.find(key);
    return found == this->news.end() ? std::nullopt : std::optional(found->second);
}

int Membership::sendLimit() const
{
    return static_cast<int>(std::ceil(3 * std::log2(static_cast<double>(this->table.liveCount()) + 1)));
}

}
