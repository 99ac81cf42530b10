#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Reports that a backend server crashed while it ran a request.
struct CrashReport
{
    std::uint64_t fingerprint = 0; ///< Keyed hash of workspace, model or service, and body.
    std::string backend; ///< Address of the backend server.
    std::string reporter; ///< Name of the entry that observed the crash.
    std::int64_t unixTime = 0; ///< Time of the crash, in seconds since the Unix epoch.

    bool operator==(const CrashReport &) const = default;
    auto operator<=>(const CrashReport &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

}
