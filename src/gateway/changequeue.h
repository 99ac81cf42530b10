#pragma once

#include "storechanges.h"

#include "cyclamencross/base/timing.h"

#include <cstddef>

namespace Cyclamen
{

/// Changes of the store that wait to be reported to peers. Bounds the part of this host's link that the reports take,
/// since its calls to the store and its callers use the same link. Peers that are not told read the store themselves.
class ChangeQueue
{
public:
    /// Largest part of the link that changes may take.
    static constexpr double LinkShare = 0.5;
    /// Longest time for which one report of changes, sent to all peers, may take the link. Peers that read the store
    /// instead do so within a second.
    static constexpr Millis MaxSendTime{250};
    /// Size up to which changes are sent in one report, before packing; further ones follow in the next reports.
    static constexpr std::size_t MaxPartBytes = 30000;
    /// Size up to which changes wait, before packing.
    static constexpr std::size_t MaxPendingBytes = 600000;

    /// @param linkMegabits capacity of the host's link in Mbit/s; 0 sets no bound.
    explicit ChangeQueue(double linkMegabits = 0);

    /// Adds changes that this router has read. Those of an item that a later one replaces are dropped, so that the
    /// number of versions that were written meanwhile does not matter.
    void add(const StoreChanges &added);
    bool isEmpty() const;
    /// Removes the changes to be sent in the next report.
    /// @param peers number of routers that get it.
    /// @return changes with `upTo` 0 if there are none, or if the link has to be left to others now.
    StoreChanges take(std::size_t peers, TimePoint now);

private:
    /// Removes the first changes, up to MaxPartBytes.
    StoreChanges takePart();
    /// Returns how long a report of @p bytes to each of @p peers takes the link; 0 if there is no bound.
    Millis sendTime(std::size_t bytes, std::size_t peers) const;

    double linkMegabits;
    StoreChanges pending;
    TimePoint nextReport; ///< Time until which the link is left to others.
};

}
