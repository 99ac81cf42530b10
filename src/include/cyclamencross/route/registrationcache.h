#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/storerevision.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Cyclamen
{

/// Local copy of the registrations of one kind in the store, with their keys and revisions. An entry that is removed
/// from the store can be kept for a while: the leases of entries expire during an outage of the store although their
/// owners are alive. Not thread-safe.
template<typename Entry>
class RegistrationCache
{
public:
    /// Adds or replaces an entry.
    /// @param revision store revision of the write; ignored if older than the known revision of the entry.
    /// @return whether the entry changed, or was marked for removal before. Peers that have marked it as well have to
    /// hear of it.
    bool put(const std::string &key, Entry entry, StoreRevision revision)
    {
        Record &record = this->records[key];
        if (revision < record.revision) {
            return false;
        }
        const bool changed = record.revision == 0 || record.keptUntil || !(record.entry == entry);
        record = Record{std::move(entry), revision, std::nullopt, StoreRevision()};
        return changed;
    }

    /// Removes an entry at once, or marks it for removal by expire() at @p keepUntil if that is set. A later put() of
    /// the entry cancels the removal, and a later remove() postpones it only if the store has returned in between.
    /// @param revision store revision of the removal; ignored if older than the known revision of the entry.
    /// @return whether the entry has been removed now.
    bool remove(const std::string &key, StoreRevision revision, std::optional<TimePoint> keepUntil)
    {
        const auto it = this->records.find(key);
        if (it == this->records.end() || revision < it->second.revision) {
            return false;
        }
        if (keepUntil) {
            Record &record = it->second;
            if (!record.keptUntil || record.keptSince.generation() < revision.generation()) {
                record.keptUntil = keepUntil;
                record.keptSince = revision;
            }
            return false;
        }
        this->records.erase(it);
        return true;
    }

    /// Removes the entries whose grace period has passed.
    /// @param removing called for each of them.
    /// @return the number of removed entries.
    std::size_t expire(TimePoint now, const std::function<void(const Entry &entry)> &removing = nullptr)
    {
        return std::erase_if(this->records, [now, &removing](const auto &item) {
            const bool isDue = item.second.keptUntil && *item.second.keptUntil <= now;
            if (isDue && removing) {
                removing(item.second.entry);
            }
            return isDue;
        });
    }

    /// Returns the revision of each entry by its key.
    std::map<std::string, StoreRevision> revisions() const
    {
        std::map<std::string, StoreRevision> result;
        for (const auto &[key, record] : this->records) {
            result[key] = record.revision;
        }
        return result;
    }

    /// Returns the revision of the entry of @p key; 0 if there is none.
    StoreRevision revisionOf(const std::string &key) const
    {
        const auto it = this->records.find(key);
        return it == this->records.end() ? StoreRevision() : it->second.revision;
    }

    /// Returns the entry of @p key, or nullptr if there is none. The pointer is valid until the entry is removed.
    const Entry *find(const std::string &key) const
    {
        const auto it = this->records.find(key);
        return it == this->records.end() ? nullptr : &it->second.entry;
    }

    /// Calls @p visit with the key and the entry of each record, in the order of the keys.
    template<typename Visit>
    void forEach(const Visit &visit) const
    {
        for (const auto &[key, record] : this->records) {
            visit(key, record.entry);
        }
    }

    std::size_t size() const
    {
        return this->records.size();
    }

private:
    struct Record
    {
        Entry entry;
        StoreRevision revision;
        std::optional<TimePoint> keptUntil; ///< Set while the entry is marked for removal.
        StoreRevision keptSince; ///< Of the removal.
    };
    std::map<std::string, Record> records;
};

}
