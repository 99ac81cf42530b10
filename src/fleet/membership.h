#pragma once

#include "gossipmessage.h"
#include "membertable.h"
#include "prober.h"
#include "updatequeue.h"

#include "cyclamencross/base/settings.h"
#include "cyclamencross/net/datagram.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The gossip membership protocol of one entry as a state machine. Received datagrams and the current time are passed
/// in; datagrams are sent through a hook. Not thread-safe.
class Membership
{
public:
    struct Hooks
    {
        /// Sends a datagram to a gossip address.
        std::function<void(const std::string &address, DatagramKind kind, const std::string &payload)> send;
        /// Called with each crash report received. Returns whether it was new.
        std::function<bool(const CrashReport &)> onCrash;
        /// Called when an operator has lifted the containment of a fingerprint.
        std::function<void(const CrashLift &)> onCrashLift;
        /// Called with each departure of a backend server that a peer reports. Returns whether it was new.
        std::function<bool(const BackendDeparture &)> onBackendDeparture;
        /// Called when @p peer, the sender of a datagram, has a greater configuration revision.
        std::function<void(const MemberRecord &peer)> onNewerConfig;
    };

    /// Limit on the payload of a datagram. At two probes a second, and as many Acks, it bounds the bytes that an entry
    /// sends regardless of the size of the fleet: fleetbench shows 2,835 bytes a second at 64 members and 2,842 at 200.
    static constexpr std::size_t MaxMessageBytes = 640;
    /// Limit on the payload of a page of the member list. Pages are rare, since only joins and resyncs read them, so
    /// they may fill a datagram of 1,400 bytes.
    static constexpr std::size_t MaxPageBytes = 1250;
    /// Limit on the pages that an entry serves per second.
    static constexpr int PagesPerSecond = 10;
    /// An entry that joined at the same time as others may have read an incomplete member list, so it reads another
    /// peer's list after this time, then after twice as long and so on.
    static constexpr Millis InitialResyncPeriod{2000};
    static constexpr Millis MaxResyncPeriod{300000};
    /// Up to this resync period, pages are requested without a pause.
    static constexpr Millis MaxUrgentResyncPeriod{16000};
    /// Members that are asked to probe a member that has not answered.
    static constexpr int IndirectProbes = 3;
    /// Every fifth probe is accompanied by a ping to a dead member or a configured peer, so that the two sides of a
    /// network partition merge after it ends.
    static constexpr std::uint64_t ProbesPerRejoin = 5;
    /// Limit on queued crash, lift and departure updates, and on remembered lifts.
    static constexpr std::size_t MaxUpdates = 1024;

    Membership(const Settings &settings, const Member &self, Hooks hooks, std::uint64_t seed);

    /// Does all due work. To be called a few times per probe timeout.
    void tick(TimePoint now);
    /// Processes a Ping, PingRequest or Ack.
    /// @return false if its payload is malformed.
    bool receive(const Datagram &datagram, TimePoint now);

    void setLoad(std::uint32_t load);
    void setConfigRevision(std::uint64_t revision);
    /// Announces that this entry is draining.
    void drain();
    /// Announces that this entry has left. Some members are notified immediately, since the process is about to end.
    void leave();
    /// Spreads a crash that this entry has observed. Some members are notified immediately.
    void disseminate(const CrashReport &report);
    /// Spreads that an operator has lifted the containment of a fingerprint.
    void disseminate(const CrashLift &lift);
    /// Spreads the departure of a backend server.
    void disseminate(const BackendDeparture &departure);
    /// Sets the crash reports that are repeated in turn, one in each datagram, for entries that missed them.
    void setActiveCrashes(std::vector<CrashReport> crashes);

    const MemberTable &members() const;
    /// Returns when a datagram from another entry last arrived.
    std::optional<TimePoint> lastReceiveTime() const;
    /// Returns whether the member list of a peer was read completely, or no peer is configured.
    bool hasJoined() const;

private:
    void probe(TimePoint now);
    void probeIndirectly(const std::string &name, std::uint64_t number);
    /// Pings a dead member or a configured peer that is not a live member.
    void rejoin();
    void startResync(TimePoint now);
    void requestPage(TimePoint now);
    void handlePage(const Datagram &datagram, const GossipMessage &message, TimePoint now);
    GossipMessage makePage(const std::string &after, std::uint64_t number);
    void handlePing(const Datagram &datagram, const GossipMessage &message, TimePoint now);
    void handlePingRequest(const Datagram &datagram, const GossipMessage &message, TimePoint now);
    void applyItems(const GossipMessage &message, TimePoint now);
    /// Sends @p message with the record of this entry and as many queued updates as fit.
    /// @param subject a member whose state is included unless it is alive, so that the receiver can refute it; may be
    /// null.
    void send(const std::string &address, DatagramKind kind, GossipMessage message, const MemberRecord *subject);
    void appendUpdates(GossipMessage &message, std::size_t room);
    std::optional<GossipItem> updateItem(const std::string &key) const;
    void queueUpdate(const std::string &key, const GossipItem &item);
    /// Queues a crash report for the next datagrams.
    void queueCrash(const CrashReport &report);
    /// Returns how many times an update is sent, which grows with the logarithm of the number of live members.
    int retransmitLimit() const;
    /// Returns the names of up to @p maxCount random live members.
    std::vector<std::string> randomLiveMembers(std::size_t maxCount);

    Settings settings;
    Hooks hooks;
    std::mt19937_64 random;
    UpdateQueue queue;
    MemberTable table;
    Prober prober;
    std::map<std::string, GossipItem> updates; ///< Queued updates other than member states, by queue key.
    std::vector<CrashReport> activeCrashes;
    std::size_t crashCursor = 0;
    std::string memberCursor; ///< Last member that was appended to fill a message.
    /// Time of the latest lift by fingerprint, so that a lift is not spread forever.
    std::map<std::uint64_t, std::int64_t> latestLifts;

    std::optional<TimePoint> lastTickTime;
    std::optional<TimePoint> nextProbeTime;
    std::optional<TimePoint> lastReceived;
    std::uint64_t probeCount = 0;

    bool joined = false;
    /// Gossip addresses to read the member list from; empty when no transfer is in progress.
    std::vector<std::string> pagePeers;
    std::size_t pagePeerIndex = 0;
    std::optional<TimePoint> nextResyncTime;
    Millis resyncPeriod = InitialResyncPeriod;
    int pageAttempts = 0;
    std::string pageAfter;
    std::uint64_t pageNumber = 0; ///< Number of the page request in flight.
    TimePoint pageRetryTime;
    TimePoint pageWindowStart;
    int pagesInWindow = 0;
};

}
