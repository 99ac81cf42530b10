#pragma once

#include "keyvalueclient.h"

#include "cyclamencross/base/timing.h"

#include <atomic>
#include <cstdint>
#include <mutex>

namespace Cyclamen
{

/// The platform lease that all call records of an hour share, so that their number does not set the number of leases.
/// Thread-safe; time is passed in.
class CallLease
{
public:
    /// A record lives 24 h, and its lease may already be an hour old when the record is attached to it.
    static constexpr std::int64_t LifetimeSeconds = 25 * 3600;
    static constexpr std::chrono::hours SharedFor{1};

    explicit CallLease(KeyValueClient &client);

    /// Returns the lease of this hour, which is granted if there is none yet.
    boost::leaf::result<std::int64_t> get(TimePoint now);
    /// Discards @p lease, which the service does not know (any more).
    void discard(std::int64_t lease);

private:
    KeyValueClient &client;
    std::mutex mutex;
    std::atomic<std::uint64_t> grants{0}; ///< Requests for a lease that have ended.
    std::int64_t lease = 0;
    TimePoint granted;
};

}
