#pragma once

#include "cyclamencross/base/crashreport.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Limits how many backend servers a request that crashes them can take down: counts crashes by the fingerprint of the
/// request, and keeps suspect requests (those with a crash) apart from one another. Thread-safe.
class CrashGuard
{
public:
    using ReportHook = std::function<void(const CrashReport &)>;
    using ListHook = std::function<std::vector<CrashReport>()>;

    CrashGuard(std::string entry, std::string sharedKey, ReportHook report, ListHook list);

    /// Returns the fingerprint of a request, a keyed hash that is the same on all entries.
    std::uint64_t fingerprint(const std::string &workspace, const std::string &target, const std::string &body) const;
    /// Returns the number of crash reports in force for @p fingerprint.
    int crashCount(std::uint64_t fingerprint) const;
    /// Returns whether requests with @p fingerprint must be refused because of their crashes.
    bool isContained(std::uint64_t fingerprint) const;
    /// Logs and reports that @p backend died while it was running a request with @p fingerprint.
    void report(std::uint64_t fingerprint, const std::string &backend) const;

    /// Reserves @p backend for a suspect request, so that no two of them run on it at the same time.
    /// @return false if another suspect request of this entry has reserved it.
    bool reserve(const std::string &backend);
    void release(const std::string &backend);
    /// Returns whether a suspect request of this entry has reserved @p backend.
    bool isReserved(const std::string &backend) const;

private:
    std::string entry;
    std::string sharedKey;
    ReportHook reportHook;
    ListHook listHook;
    mutable std::mutex mutex;
    std::set<std::string> reserved;
};

}
