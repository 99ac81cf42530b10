#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A key with its value and the revisions that etcd reports for it.
struct StoredKey
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0; ///< Id of the lease that the key is attached to; 0 for none.
};

/// A change of one key. For a removed key only the key and its modRevision are set.
struct KeyEvent
{
    bool removed = false;
    StoredKey key;
};

/// The keys and leases of the emulated key-value service. Not thread-safe; KeyValueApi locks it.
class KeyValueStore
{
public:
    std::int64_t revision() const;
    /// Returns the keys in the range [key, end); see inRange().
    std::vector<StoredKey> range(const std::string &key, const std::string &end) const;
    /// Writes a key at revision @p newRevision, which becomes the current revision.
    /// @param lease the id of the lease to attach the key to; 0 for none.
    /// @return false if the lease does not exist; nothing is written then.
    bool put(const std::string &key, const std::string &value, std::int64_t lease, std::int64_t newRevision);
    /// Removes the keys in the range at revision @p newRevision and returns their number.
    std::size_t erase(const std::string &key, const std::string &end, std::int64_t newRevision);

    /// Creates a lease.
    /// @param id the id of the lease; 0 to assign one.
    /// @return its id.
    std::int64_t grantLease(std::int64_t id, std::int64_t ttlSeconds);
    /// Renews a lease.
    /// @return its time to live in seconds, or 0 if it does not exist.
    std::int64_t keepAlive(std::int64_t id);
    /// Ends a lease and removes its keys.
    /// @return false if it does not exist.
    bool revokeLease(std::int64_t id);
    /// Ends the leases that have expired and removes their keys.
    /// @return whether any lease has expired.
    bool expireLeases();

    /// Returns the events in the range [key, end) with a revision of at least @p firstRevision, oldest first.
    std::vector<KeyEvent> eventsSince(std::int64_t firstRevision, const std::string &key, const std::string &end) const;
    /// Discards the events up to the current revision, like a compaction in etcd.
    void compact();
    /// Returns the revision up to which events have been discarded.
    std::int64_t compactRevision() const;

    /// Saves a copy of the current state for restoreState().
    void saveState();
    /// Returns to the saved state, including its revision. Its leases start anew with their full time to live.
    /// @return false if no state was saved.
    bool restoreState();

private:
    struct Lease
    {
        std::int64_t ttlSeconds = 0;
        TimePoint expiry;
    };
    struct State
    {
        std::int64_t revision = 1;
        std::map<std::string, StoredKey> keys;
        std::map<std::int64_t, Lease> leases;
    };

    State state;
    std::optional<State> savedState;
    std::deque<KeyEvent> history;
    std::int64_t compactedRevision = 0;
    std::int64_t nextLease = 1000;
};

/// Returns whether @p candidate lies in the range [key, end) as etcd defines it: an empty @p end means only @p key
/// itself, a single zero byte means all keys from @p key on.
bool inRange(const std::string &candidate, const std::string &key, const std::string &end);

}
