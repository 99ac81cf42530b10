#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/storefailure.h"
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
using StoreCall = boost::asio::awaitable<StoreResult<Value>>;

/// The platform's key-value store as the router uses it. The hooks make one call each, or one for each page, and do not
/// try again.
struct StateStore
{
    /// Reads all items whose key begins with a prefix.
    std::function<StoreCall<StorePage>(std::string prefix)> list;
    /// Waits for changes after a revision. The page is empty if there was none.
    std::function<StoreCall<StorePage>(std::string prefix, std::uint64_t after, Millis wait)> watch;
    /// Ends a waiting watch, whose connection may have fallen silent.
    std::function<void()> cancelWatch;
    /// Takes out a lease and returns its number.
    std::function<StoreCall<std::uint64_t>(Millis lifetime)> grantLease;
    std::function<StoreCall<std::uint64_t>(std::uint64_t lease)> renewLease;
    std::function<StoreCall<std::uint64_t>(std::uint64_t lease)> endLease;
    /// Writes an item without a condition and returns the revision.
    std::function<StoreCall<std::uint64_t>(std::string key, std::string value, std::uint64_t lease)> write;
};

}
