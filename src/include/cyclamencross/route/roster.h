#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Cyclamen
{

/// The registered entries of one kind, as read from the store. An entry that disappears can be held for a while, since
/// entries lapse while the store is away although their owners live. Not thread-safe.
template<typename Entry>
class Roster
{
public:
    /// Adds or replaces an entry.
    /// @param revision store revision of the write; an older one than known is ignored.
    /// @return whether the entry changed.
    bool put(const std::string &key, Entry entry, std::uint64_t revision)
    {
        Record &record = this->records[key];
        if (revision < record.revision) {
            return false;
        }
        const bool changed = record.revision == 0 || !(record.entry == entry);
        record = Record{std::move(entry), revision, std::nullopt};
        return changed;
    }

    /// Removes an entry at once, or at @p holdUntil if that is set.
    /// @return whether the entry is gone now.
    bool remove(const std::string &key, std::uint64_t revision, std::optional<TimePoint> holdUntil)
    {
        const auto it = this->records.find(key);
        if (it == this->records.end() || revision < it->second.revision) {
            return false;
        }
        if (holdUntil) {
            it->second.heldUntil = it->second.heldUntil.value_or(*holdUntil);
            return false;
        }
        this->records.erase(it);
        return true;
    }

    /// Removes the entries whose holding time is over.
    /// @return how many were removed.
    std::size_t expire(TimePoint now)
    {
        return std::erase_if(
            this->records, [now](const auto &item) { return item.second.heldUntil && *item.second.heldUntil <= now; });
    }

    /// Returns the keys known now.
    std::map<std::string, std::uint64_t> revisions() const
    {
        std::map<std::string, std::uint64_t> result;
        for (const auto &[key, record] : this->records) {
            result[key] = record.revision;
        }
        return result;
    }

    /// Returns the entry of @p key, or nullptr.
    const Entry *find(const std::string &key) const
    {
        const auto it = this->records.find(key);
        return it == this->records.end() ? nullptr : &it->second.entry;
    }

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
        std::uint64_t revision = 0;
        std::optional<TimePoint> heldUntil;
    };
    std::map<std::string, Record> records;
};

}
