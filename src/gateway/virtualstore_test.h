#pragma once

#include "virtualstorecontent_test.h"
#include "virtualtime_test.h"

#include "cyclamencross/gateway/statestore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Cyclamen
{

/// How the store treats the calls of a router.
enum class StoreFault {
    None,
    Refuse, ///< Status 503 or 429; nothing is done.
    Reset, ///< The connection breaks; nothing is done.
    Silent, ///< No answer; nothing is done.
    LoseAnswers, ///< The call is executed, but its answer is lost.
    Delay, ///< The call is executed, and its answer comes late.
};

/// The calls to which a fault applies.
enum class StoreCalls {
    All,
    Reads,
    Writes,
};

/// The platform's key-value store on VirtualTime, with the clients of routers. A client keeps up to two idle
/// connections, as the real one does; a connection can go silent for good.
class VirtualStore
{
public:
    /// See silenceIdle(). Network devices that forget a connection have such limits; this one is that of review case 4.
    static constexpr Millis IdleLimit{1200};

    explicit VirtualStore(VirtualTime &time);

    /// Returns the client of one process.
    StateStore makeClient(const ProcessPtr &process);
    /// Writes an item.
    /// @param lease 0 for none.
    StoreRevision put(const std::string &key, const std::string &value, std::uint64_t lease);
    void remove(const std::string &key);
    std::uint64_t grantLease(Millis lifetime);
    bool renewLease(std::uint64_t lease);
    void endLease(std::uint64_t lease);
    /// Returns the value of an item; std::nullopt if there is none.
    std::optional<std::string> find(const std::string &key) const;
    /// Lets the calls of a router fail for a while.
    /// @param delay of answers, for StoreFault::Delay.
    void setFault(std::size_t router, StoreFault fault, StoreCalls calls, Millis duration, Millis delay);
    /// Lets the open watch of a router go silent for good. New calls work.
    void silenceWatch(std::size_t router);
    /// Lets all connections of a router go silent for good: the busy and the idle ones. New connections work.
    void silenceConnections(std::size_t router);
    /// Lets each connection of a router go silent for good that has no traffic for IdleLimit, for a while.
    void silenceIdle(std::size_t router, Millis duration);
    /// Drops the history of changes. Later reads of it fail; if @p hidesChanges, they return an empty page instead.
    void dropHistory(bool hidesChanges);
    /// Returns the lease of an item; 0 if it has none or does not exist.
    std::uint64_t leaseOf(const std::string &key) const;
    /// Names the first generation in all answers from now on, see StoreRevision. Before, answers name none.
    void nameGeneration();
    /// Returns what the store holds now.
    const VirtualStoreContent &currentContent() const;
    /// Returns from an older copy: what was written since is gone, numbers are given out again, and the generation
    /// rises by one. Leases go on with the time that they had left.
    /// @param age time since @p copy was taken.
    void returnFrom(VirtualStoreContent copy, Clock::duration age);
    /// Takes the store away from everybody until a time.
    void setDown(TimePoint until);
    bool isDown() const;
    /// Ends leases that are due.
    void expireLeases();
    /// Drops the calls that wait for an answer.
    void clear();
    /// Returns the number of lists that routers have read.
    std::size_t listCount() const;

    /// Called for each change, at the time of its execution.
    std::function<void(const StoreItem &item)> onChange;

    /// After a timeout, clients do not use their idle connections again, as the real client.
    bool clientsDropIdleConnections = true;

private:
    struct Connection
    {
        bool silent = false;
        TimePoint lastTraffic;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    /// The client of one process.
    struct Client
    {
        ProcessPtr process;
        std::vector<ConnectionPtr> idle;
        std::vector<std::weak_ptr<Connection>> all;
        std::weak_ptr<Connection> watchConnection;
        std::function<void()> cancelWatch;
    };
    using ClientPtr = std::shared_ptr<Client>;
    template<typename Value>
    using Reply = std::function<void(StoreResult<Value>)>;
    struct Fault
    {
        StoreFault kind = StoreFault::None;
        StoreCalls calls = StoreCalls::All;
        TimePoint until;
        Millis delay{0};
    };
    struct Watch
    {
        StoreRevision after;
        TimePoint until;
        Reply<StorePage> reply;
    };

    /// Makes a call that @p execute answers, at once or later.
    template<typename Value>
    StoreAwaitable<Value> call(ClientPtr client, StoreCalls calls, Millis timeout, bool isWatch,
                               std::function<void(Reply<Value>)> execute);
    template<typename Value>
    StoreAwaitable<Value> callNow(ClientPtr client, StoreCalls calls, Millis timeout,
                                  std::function<StoreResult<Value>()> execute);
    /// Returns a failure that the store answers, with its generation.
    StoreFailure failure(StoreFailure::Kind kind) const;
    /// Returns an item as the store answers it: all revisions in an answer are of the present generation.
    StoreItem answered(StoreItem item) const;
    StoreResult<StorePage> list() const;
    StoreResult<StorePage> changes(const StoreRevision &after) const;
    StoreResult<StoreRevision> writeIf(const std::string &key, const std::string &value, std::uint64_t lease,
                                       const std::string &conditionKey, const StoreRevision &conditionRevision);
    Fault faultOf(std::size_t router, StoreCalls calls) const;
    Millis latency();
    /// Lets @p connection go silent if silenceIdle() demands it, and records traffic on it.
    void recordTraffic(std::size_t router, Connection &connection);
    void commit(StoreItem item);
    void answerWatches();

    VirtualTime &time;
    VirtualStoreContent content;
    std::uint64_t generation = 0; ///< Named in all answers; 0 for a store that names none.
    std::vector<Watch> watches;
    std::map<std::size_t, std::vector<Fault>> faults;
    std::map<std::size_t, TimePoint> silencesIdleUntil; ///< By router.
    std::vector<std::weak_ptr<Client>> clients;
    TimePoint downUntil;
    std::size_t lists = 0;
};

}
