#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/storefailure.h"
#include "cyclamencross/gateway/storelease.h"
#include "cyclamencross/gateway/storepage.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

template<typename Value>
using StoreResult = std::variant<Value, StoreFailure>;
template<typename Value>
using StoreAwaitable = boost::asio::awaitable<StoreResult<Value>>;

/// Client interface of the platform's key-value store. Each function makes one call, or one per page, and does not
/// retry. All results name the generation of the store that answered, see StoreRevision.
struct StateStore
{
    /// Reads all items whose key begins with @p prefix.
    std::function<StoreAwaitable<StorePage>(std::string prefix)> list;
    /// Waits up to @p wait for changes after revision @p after. The page is empty if there were none.
    std::function<StoreAwaitable<StorePage>(std::string prefix, StoreRevision after, Millis wait)> watch;
    /// Reads the changes after revision @p after without waiting for any, and fails soon if the connection is dead.
    std::function<StoreAwaitable<StorePage>(std::string prefix, StoreRevision after)> readChanges;
    /// Cancels a pending watch, whose connection may be dead.
    std::function<void()> cancelWatch;
    /// Creates a lease. Items written under a lease are removed when it ends.
    std::function<StoreAwaitable<StoreLease>(Millis lifetime)> grantLease;
    /// Returns the generation of the store that has renewed the lease of this id, which may be a later one than that of
    /// the lease.
    std::function<StoreAwaitable<std::uint64_t>(std::uint64_t lease)> renewLease;
    /// Returns the generation of the store, likewise.
    std::function<StoreAwaitable<std::uint64_t>(std::uint64_t lease)> endLease;
    /// Writes an item unconditionally under @p lease and returns the revision of the write.
    std::function<StoreAwaitable<StoreRevision>(std::string key, std::string value, std::uint64_t lease)> write;
    /// Writes an item if the item @p conditionKey has the given revision; a revision of 0 means that it does not exist.
    /// Fails with StoreFailure::Kind::Conflict otherwise.
    /// @param lease lease under which the item is written; 0 for none.
    std::function<StoreAwaitable<StoreRevision>(std::string key, std::string value, std::uint64_t lease,
                                                std::string conditionKey, StoreRevision conditionRevision)>
        writeIf;
};

}
