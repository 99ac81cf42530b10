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

/// The membership protocol of one entry as a state machine: datagrams and time go in, datagrams come out through a
/// hook. Not thread-safe.
class Membership
{
public:
    struct Hooks
    {
        /// Sends a datagram to a gossip address.
        std::function<void(const std::string &address, DatagramKind kind, const std::string &payload)> send;
        /// Hears of a crash. Returns whether it was new.
        std::function<bool(const CrashReport &)> crash;
        /// Hears of an operator's order to forget crashes.
        std::function<void(const CrashLift &)> lift;
        /// Hears that a backend server leaves. Returns whether it was new.
        std::function<bool(const BackendNews &)> backend;
        /// Hears that @p peer, who has just sent a datagram, has a greater configuration revision.
        std::function<void(const MemberRecord &peer)> newerConfig;
    };

    /// Bounds the content of a datagram. At two probes a second, and as many answers, it bounds what an entry sends
    /// whatever the size of the fleet. fleetbench measured 2,835 bytes a second at 64 members and 2,842 at 200.
    static constexpr std::size_t MessageBytes = 640;
    /// Pages of the member list, which only joining entries read, may fill a datagram of 1,400 bytes.
    static constexpr std::size_t PageBytes = 1250;
    static constexpr int PagesPerSecond = 10;
    /// An entry that joined while others did may have read an incomplete list, so it reads another peer's list after
    /// this time, then after twice as long and so on.
    static constexpr Millis FirstResync{2000};
    static constexpr Millis LongestResync{300000};
    static constexpr Millis LongestHurry{16000};
    static constexpr int IndirectProbes = 3;
    /// Every fifth probe also goes to a dead member or a configured peer, so that two halves of a partition find each
    /// other again.
    static constexpr std::uint64_t RejoinEvery = 5;
    static constexpr std::size_t MaxNews = 1024;

    Membership(const Settings &settings, const Member &self, Hooks hooks, std::uint64_t seed);

    /// Does what is due; called a few times per probe timeout.
    void tick(TimePoint now);
    /// Takes a Ping, PingRequest or Ack.
    /// @return false if its payload is malformed.
    bool receive(const Datagram &datagram, TimePoint now);

    void setLoad(std::uint32_t load);
    void setConfigRevision(std::uint64_t revision);
    /// Announces that this entry drains.
    void drain();
    /// Announces that this entry has left, at once to some members, since its process is about to end.
    void leave();
    /// Spreads a crash that was seen here, to some members at once.
    void spread(const CrashReport &report);
    /// Spreads an order to forget crashes.
    void spread(const CrashLift &lift);
    /// Spreads that a backend server leaves.
    void spread(const BackendNews &news);
    /// Sets the crash news that goes along, in turn, with each datagram, for entries that missed it.
    void setCrashNews(std::vector<CrashReport> inForce);

    const MemberTable &members() const;
    /// Returns when a datagram of another entry last arrived.
    std::optional<TimePoint> lastHeard() const;
    /// Returns whether the member list of a peer was read completely, or there is no peer to ask.
    bool hasJoined() const;

private:
    void probe(TimePoint now);
    void probeIndirectly(const std::string &name, std::uint64_t number);
    void rejoin();
    void startResync(TimePoint now);
    void askForPage(TimePoint now);
    void takePage(const Datagram &datagram, const GossipMessage &message, TimePoint now);
    GossipMessage makePage(const std::string &after, std::uint64_t number);
    void answerPing(const Datagram &datagram, const GossipMessage &message, TimePoint now);
    void answerPingRequest(const Datagram &datagram, const GossipMessage &message, TimePoint now);
    void takeItems(const GossipMessage &message, TimePoint now);
    /// Sends @p message with as much news as it has room for.
    /// @param about a member whose record goes along, so that it can refute what is believed of it.
    void send(const std::string &address, DatagramKind kind, GossipMessage message, const MemberRecord *about);
    void fillWithNews(GossipMessage &message, std::size_t room);
    std::optional<GossipItem> newsItem(const std::string &key) const;
    void pushNews(const std::string &key, const GossipItem &item);
    /// Spreads a crash that another entry has seen, along with the usual datagrams.
    void passOn(const CrashReport &report);
    int sendLimit() const;
    /// Returns the names of up to @p most live members, chosen at random.
    std::vector<std::string> someLive(std::size_t most);

    Settings settings;
    Hooks hooks;
    std::mt19937_64 random;
    UpdateQueue queue;
    MemberTable table;
    Prober prober;
    std::map<std::string, GossipItem> news; ///< What is spread apart from members, by its key in the queue.
    std::vector<CrashReport> crashesInForce;
    std::size_t crashCursor = 0;
    std::string fillCursor;
    std::map<std::uint64_t, std::int64_t> liftsSeen; ///< By fingerprint, so that no lift circulates for ever.

    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> nextProbe;
    std::optional<TimePoint> heard;
    std::uint64_t probeCount = 0;

    bool joined = false;
    std::vector<std::string> pagePeers; ///< Gossip addresses to read the member list from; empty when it was read.
    std::size_t pagePeer = 0;
    std::optional<TimePoint> nextResync;
    Millis resyncPeriod = FirstResync;
    int pageTries = 0;
    std::string pageAfter;
    std::uint64_t pageNumber = 0;
    TimePoint pageRetry;
    TimePoint pageSecond;
    int pagesServed = 0;
};

}
