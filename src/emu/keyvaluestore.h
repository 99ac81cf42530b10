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
    std::int64_t lease = 0;
};

/// A change of one key. A removed key has version 0.
struct KeyEvent
{
    bool removed = false;
    StoredKey key;
};

/// The keys and leases of the stand-in for the key-value service. Not thread-safe; KeyValueApi locks it.
class KeyValueStore
{
public:
    std::int64_t revision() const;
    /// Returns the keys in [key, end); only @p key itself if @p end is empty, all from @p key on if it is a zero byte.
    std::vector<StoredKey> range(const std::string &key, const std::string &end) const;
    /// Writes a key at revision @p at, which becomes the current one.
    /// @return false if @p lease is given and doesn't exist.
    bool put(const std::string &key, const std::string &value, std::int64_t lease, std::int64_t at);
    /// Removes the keys in the range at revision @p at and returns how many there were.
    std::size_t erase(const std::string &key, const std::string &end, std::int64_t at);

    /// Creates a lease. @return its id.
    std::int64_t grantLease(std::int64_t id, std::int64_t ttlSeconds);
    /// Renews a lease. @return its time to live in seconds, or 0 if it doesn't exist.
    std::int64_t keepAlive(std::int64_t id);
    /// Ends a lease and removes its keys. @return false if it doesn't exist.
    bool revokeLease(std::int64_t id);
    /// Ends the leases whose time has passed.
    /// @return whether there were any.
    bool expireLeases();

    /// Returns the events of the range from revision @p from on, in order.
    std::vector<KeyEvent> eventsSince(std::int64_t from, const std::string &key, const std::string &end) const;
    /// Forgets the events up to the current revision, as a compaction does.
    void compact();
    std::int64_t compactRevision() const;

    /// Keeps a copy of the current state for restoreState().
    void saveState();
    /// Goes back to the saved state, revision included. @return false if none was saved.
    bool restoreState();

private:
    struct Lease
    {
        std::int64_t ttlSeconds = 0;
        TimePoint end;
    };
    struct State
    {
        std::int64_t revision = 1;
        std::map<std::string, StoredKey> keys;
        std::map<std::int64_t, Lease> leases;
    };

    State state;
    std::optional<State> saved;
    std::deque<KeyEvent> history;
    std::int64_t compacted = 0;
    std::int64_t nextLease = 1000;
};

/// Returns whether @p candidate lies in the range [key, end) as etcd defines it.
bool inRange(const std::string &candidate, const std::string &key, const std::string &end);

}
