#pragma once

#include "cyclamencross/base/crashreport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Cyclamen
{

/// Crash records by request fingerprint. A fingerprint with crashes on two backend servers, or twice on one, is
/// contained for a bounded time. Not thread-safe.
class CrashLedger
{
public:
    static constexpr std::int64_t LifetimeSeconds = 600;
    static constexpr int CrashesToContain = 2;
    /// Bounds the memory; beyond it the oldest record is dropped.
    static constexpr std::size_t MaxRecords = 10000;

    /// Adds a record; the same record twice counts once.
    /// @return whether it is new.
    bool add(const CrashReport &report);
    /// Returns how many crashes of @p fingerprint are in force at @p now (Unix seconds).
    int count(std::uint64_t fingerprint, std::int64_t now) const;
    /// Returns whether requests with @p fingerprint must be refused.
    bool isContained(std::uint64_t fingerprint, std::int64_t now) const;
    /// Removes the records of @p fingerprint made up to @p upTo and ignores late copies of them.
    void lift(std::uint64_t fingerprint, std::int64_t upTo);
    /// Drops records and lift marks that are out of force at @p now.
    void expire(std::int64_t now);
    /// Returns the records in force.
    std::vector<CrashReport> inForce(std::int64_t now) const;

private:
    std::set<CrashReport> reports;
    std::map<std::uint64_t, std::int64_t> lifted;
};

}
