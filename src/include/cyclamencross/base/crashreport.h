#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// A backend server died while it ran a request.
struct CrashReport
{
    std::uint64_t fingerprint = 0; ///< Keyed hash of workspace, model or service, and body.
    std::string backend;
    std::string reporter; ///< Entry that saw it.
    std::int64_t unixTime = 0; ///< Seconds.

    bool operator==(const CrashReport &) const = default;
    auto operator<=>(const CrashReport &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

}
