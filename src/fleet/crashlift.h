#pragma once

#include <cstdint>

namespace Cyclamen
{

/// An operator's command to ignore past crashes of requests with a given fingerprint, which lifts their containment.
struct CrashLift
{
    std::uint64_t fingerprint = 0;
    std::int64_t upTo = 0; ///< Crashes up to this time (Unix seconds) are ignored.

    bool operator==(const CrashLift &) const = default;
};

}
