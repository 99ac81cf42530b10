#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// A call to the store that gave no result.
struct StoreFailure
{
    enum class Kind : std::uint8_t {
        Unreachable, ///< No answer; a write may have been carried out or may still be.
        Refused, ///< The store is busy or the call rate is exceeded; nothing was done.
        HistoryGone, ///< The changes asked for are no longer kept.
        Conflict, ///< A condition of a write does not hold.
        NoLease, ///< The lease has ended.
        Malformed, ///< The answer does not follow the store's interface.
    };
    Kind kind = Kind::Unreachable;
    std::string detail;

    bool operator==(const StoreFailure &) const = default;
};

}
