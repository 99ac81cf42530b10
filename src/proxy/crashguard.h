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

/// Keeps requests that crash backend servers from taking down more of them. Thread-safe.
class CrashGuard
{
public:
    using ReportHook = std::function<void(const CrashReport &)>;
    using ListHook = std::function<std::vector<CrashReport>()>;

    CrashGuard(std::string entry, std::string sharedKey, ReportHook report, ListHook list);

    /// Returns the keyed fingerprint of a request; the same at all entries.
    std::uint64_t fingerprint(const std::string &workspace, const std::string &target, const std::string &body) const;
    /// Returns how many crashes of @p fingerprint are in force.
    int crashes(std::uint64_t fingerprint) const;
    /// Returns whether requests with @p fingerprint must be refused.
    bool isContained(std::uint64_t fingerprint) const;
    /// Reports that @p backend died while it ran a request with @p fingerprint.
    void report(std::uint64_t fingerprint, const std::string &backend) const;

    /// Reserves @p backend for a request with one crash, so that no two such requests run on it together.
    /// @return false if another such request of this entry runs there.
    bool reserve(const std::string &backend);
    void unreserve(const std::string &backend);
    /// Returns whether a request with one crash runs on @p backend.
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
