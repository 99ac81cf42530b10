#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The failure of a call to the store.
struct StoreFailure
{
    enum class Kind : std::uint8_t {
        Unreachable, ///< No response; a write may have been executed or may still be.
        Refused, ///< The store is busy or the call rate is exceeded; nothing was done.
        HistoryCompacted, ///< The store no longer keeps the requested changes.
        Conflict, ///< The condition of a write was not met.
        LeaseExpired, ///< The lease has ended.
        Malformed, ///< The response does not conform to the store's protocol.
    };
    Kind kind = Kind::Unreachable;
    std::string detail; ///< For the log.
    /// Generation of the store that answered, see StoreRevision; 0 if it did not answer or names none.
    std::uint64_t generation = 0;

    bool operator==(const StoreFailure &) const = default;
};

}
