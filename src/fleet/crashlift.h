#pragma once

#include <cstdint>

namespace Cyclamen
{

/// An operator's order to forget the crashes of a request fingerprint.
struct CrashLift
{
    std::uint64_t fingerprint = 0;
    std::int64_t upTo = 0; ///< Crashes up to this time (Unix seconds) are forgotten.

    bool operator==(const CrashLift &) const = default;
};

}
