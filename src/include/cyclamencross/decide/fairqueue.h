#pragma once

#include "cyclamencross/base/slotask.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Queue of slot requests, ordered by priority, then by start-time fair queuing among workspaces, then by age. A
/// workspace that was idle starts at the current virtual time, so it gains no credit from having been idle. Not
/// thread-safe.
class FairQueue
{
public:
    struct Entry
    {
        SlotAsk request;
        TimePoint queuedAt;
    };

    /// Adds a slot request. It replaces one with the same request id and keeps that one's age.
    void add(const SlotAsk &request, TimePoint now);
    /// Returns the entry of @p requestId, or null.
    const Entry *find(const std::string &requestId) const;
    /// Removes and returns all entries for which @p isRemoved returns true.
    std::vector<Entry> removeIf(const std::function<bool(const Entry &)> &isRemoved);
    /// Returns the next entry to serve without removing it, or null if the queue is empty.
    const Entry *front() const;
    /// Removes and returns the next entry and charges its cost to its workspace. The queue must not be empty.
    Entry serveFront();
    /// Returns the entries in the order in which they would be served if no more were added.
    std::vector<const Entry *> inOrder() const;
    std::size_t size() const;

private:
    double startTag(const std::string &workspace) const;

    std::vector<Entry> entries; // oldest first
    std::map<std::string, double> finishTags; // by workspace
    double virtualTime = 0; // start tag of the entry that was served last
};

}
