#include "keyvaluestore.h"

#include <algorithm>

namespace Cyclamen
{

namespace
{

constexpr std::size_t MaxHistoryEvents = 10000;

}

bool inRange(const std::string &candidate, const std::string &key, const std::string &end)
{
    if (end.empty()) {
        return candidate == key;
    }
    return candidate >= key && (end == std::string(1, '\0') || candidate < end);
}

std::int64_t KeyValueStore::revision() const
{
    return this->state.revision;
}

std::vector<StoredKey> KeyValueStore::range(const std::string &key, const std::string &end) const
{
    std::vector<StoredKey> found;
    for (auto it = this->state.keys.lower_bound(key); it != this->state.keys.end(); ++it) {
        if (!inRange(it->first, key, end)) {
            break;
        }
        found.push_back(it->second);
    }
    return found;
}

bool KeyValueStore::put(const std::string &key, const std::string &value, std::int64_t lease, std::int64_t newRevision)
{
    if (lease != 0 && !this->state.leases.contains(lease)) {
        return false;
    }
    StoredKey &stored = this->state.keys[key];
    stored.key = key;
    stored.value = value;
    stored.createRevision = stored.version == 0 ? newRevision : stored.createRevision;
    stored.modRevision = newRevision;
    ++stored.version;
    stored.lease = lease;
    this->state.revision = newRevision;
    this->history.push_back({false, stored});
    if (this->history.size() > MaxHistoryEvents) {
        this->compactedRevision = this->history.front().key.modRevision;
        this->history.pop_front();
    }
    return true;
}

std::size_t KeyValueStore::erase(const std::string &key, const std::string &end, std::int64_t newRevision)
{
    const std::vector<StoredKey> found = this->range(key, end);
    for (const StoredKey &stored : found) {
        this->state.keys.erase(stored.key);
        StoredKey removed;
        removed.key = stored.key;
        removed.modRevision = newRevision;
        this->history.push_back({true, removed});
        this->state.revision = newRevision;
    }
    return found.size();
}

std::int64_t KeyValueStore::grantLease(std::int64_t id, std::int64_t ttlSeconds)
{
    const std::int64_t leaseId = id != 0 ? id : this->nextLease++;
    this->state.leases[leaseId] = {ttlSeconds, Clock::now() + std::chrono::seconds(ttlSeconds)};
    return leaseId;
}

std::int64_t KeyValueStore::keepAlive(std::int64_t id)
{
    const auto found = this->state.leases.find(id);
    if (found == this->state.leases.end()) {
        return 0;
    }
    found->second.expiry = Clock::now() + std::chrono::seconds(found->second.ttlSeconds);
    return found->second.ttlSeconds;
}

bool KeyValueStore::revokeLease(std::int64_t id)
{
    if (this->state.leases.erase(id) == 0) {
        return false;
    }
    std::vector<std::string> leasedKeys;
    for (const auto &[key, stored] : this->state.keys) {
        if (stored.lease == id) {
            leasedKeys.push_back(key);
        }
    }
    const std::int64_t newRevision = this->state.revision + 1;
    for (const std::string &key : leasedKeys) {
        this->erase(key, "", newRevision);
    }
    return true;
}

bool KeyValueStore::expireLeases()
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : this->state.leases) {
        if (lease.expiry <= Clock::now()) {
            expired.push_back(id);
        }
    }
    for (const std::int64_t id : expired) {
        this->revokeLease(id);
    }
    return !expired.empty();
}

std::vector<KeyEvent> KeyValueStore::eventsSince(std::int64_t firstRevision, const std::string &key,
                                                 const std::string &end) const
{
    std::vector<KeyEvent> events;
    for (const KeyEvent &event : this->history) {
        if (event.key.modRevision >= firstRevision && inRange(event.key.key, key, end)) {
            events.push_back(event);
        }
    }
    return events;
}

void KeyValueStore::compact()
{
    this->compactedRevision = this->state.revision;
    this->history.clear();
}

std::int64_t KeyValueStore::compactRevision() const
{
    return this->compactedRevision;
}

void KeyValueStore::saveState()
{
    this->savedState = this->state;
}

bool KeyValueStore::restoreState()
{
    if (!this->savedState) {
        return false;
    }
    this->state = *this->savedState;
    // The saved expiry times may have passed, so each lease starts anew.
    for (auto &[id, lease] : this->state.leases) {
        lease.expiry = Clock::now() + std::chrono::seconds(lease.ttlSeconds);
    }
    std::erase_if(this->history,
                  [this](const KeyEvent &event) { return event.key.modRevision > this->state.revision; });
    return true;
}

}
