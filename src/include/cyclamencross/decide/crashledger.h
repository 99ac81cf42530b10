#pragma once

#include "cyclamencross/base/crashreport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Cyclamen
{

/// Records of backend crashes by request fingerprint. A fingerprint with two crashes, on one backend server or on two,
/// is contained: requests with it are refused until a crash is older than LifetimeSeconds. Not thread-safe.
class CrashLedger
{
public:
    /// Age from which a record no longer counts.
    static constexpr std::int64_t LifetimeSeconds = 600;
    /// Number of crashes from which a fingerprint is contained.
    static constexpr int CrashesToContain = 2;
    /// Bounds the memory; when it is exceeded, the oldest record is dropped.
    static constexpr std::size_t MaxRecords = 10000;

    /// Adds a record. A duplicate, or a record whose containment was lifted, is ignored.
    /// @return whether the record was added.
    bool add(const CrashReport &report);
    /// Returns how many crashes of @p fingerprint still count at @p now (Unix seconds).
    int count(std::uint64_t fingerprint, std::int64_t now) const;
    /// Returns whether requests with @p fingerprint must be refused at @p now (Unix seconds).
    bool isContained(std::uint64_t fingerprint, std::int64_t now) const;
    /// Removes the records of @p fingerprint with a time up to @p upTo (Unix seconds) and ignores late copies of them.
    void lift(std::uint64_t fingerprint, std::int64_t upTo);
    /// Removes the records and lifts that no longer have an effect at @p now (Unix seconds).
    void expire(std::int64_t now);
    /// Returns the records that still count at @p now (Unix seconds).
    std::vector<CrashReport> inForce(std::int64_t now) const;

private:
    std::set<CrashReport> reports;
    std::map<std::uint64_t, std::int64_t> liftedUpTo; // Unix seconds by fingerprint
};

}
