#pragma once

#include "keyvalueclient.h"

#include "cyclamencross/base/timing.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace Cyclamen
{

/// A lease in the key-value service that all call records created within an hour share, so that the number of leases
/// does not grow with the number of calls. Thread-safe; the current time is passed in.
class CallLease
{
public:
    /// Records must be kept for 24 h, and the lease may already be an hour old when a record is attached to it.
    static constexpr std::int64_t LifetimeSeconds = 25 * 3600;
    /// Age at which a lease is replaced for new records.
    static constexpr std::chrono::hours SharePeriod{1};

    explicit CallLease(KeyValueClient &client);

    /// Returns the id of the shared lease. Requests a new one, which blocks, if there is none or it is too old.
    /// @return the lease id, or KeyValueUnavailable.
    boost::leaf::result<std::int64_t> get(TimePoint now);
    /// Drops @p lease after the service has reported that it does not exist; the next get() requests a new one.
    void discard(std::int64_t lease);

private:
    KeyValueClient &client;
    std::mutex mutex;
    std::atomic<std::uint64_t> grantAttempts{0}; ///< Completed grant requests, including failed ones.
    std::int64_t lease = 0;
    TimePoint grantTime;
};

}
