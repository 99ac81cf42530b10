#pragma once

#include "cyclamencross/gateway/storeitem.h"

#include <vector>

namespace Cyclamen
{

/// Changes of the store that one router has read and reports to its peers.
struct StoreChanges
{
    StoreRevision after; ///< The changes begin after this revision.
    StoreRevision upTo; ///< Newest revision that they cover; 0 if there are no changes to report.
    /// The items are the difference between two states of the store, not the individual changes. They may lack changes
    /// that another router has learned in between, so they apply only to the state at revision `after`.
    bool isSnapshotDiff = false;
    std::vector<StoreItem> items;
    /// If the changes lie on both sides of a return of the store: a revision up to which its copy is known to hold all
    /// changes of that generation. What was known under one up to it and is missing was removed after the return.
    StoreRevision copiedUpTo = StoreRevision();

    bool operator==(const StoreChanges &) const = default;
};

}
