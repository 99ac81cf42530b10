#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/requestright.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Cyclamen
{

/// Keeps the requests of all routers to a backend server within the rate that the server names in its answers, without
/// a message for each request. Wall-clock time is divided into slots. Each slot allows its part of the rate, and a hash
/// of slot and server assigns it to one router, so that all routers together use each slot once at most. A router may
/// use its slots for a short time, so that they are not lost when it has no request at that moment. This matters for
/// servers in need, which look idle because they get few requests: without it, all routers would choose them at once.
/// Not thread-safe.
class NamedRateLimits
{
public:
    static constexpr Millis SlotTime{50};
    /// How long a router may use a slot: short relative to the seconds over which a server measures its rate.
    static constexpr Millis SlotLifetime{1500};
    /// Requests that may come at once beyond that. At low rates, a slot may be used for the time that this takes, up to
    /// MaxSlotLifetime: otherwise most slots of many routers would expire unused.
    static constexpr double BurstRequests = 3;
    static constexpr Millis MaxSlotLifetime{6000};
    /// Rate used if a server names a lower one, in requests per second. Only an answer can lift a limit.
    static constexpr double MinRequestsPerSecond = 0.2;
    /// Rights stay valid while the rate is at least this share of the highest one under which some of them were given.
    /// Otherwise a server whose limit varies by a few percent would get less than half of what it allows.
    static constexpr double KeptRateShare = 0.8;
    /// How long the end of a limit is remembered: older news about it, from other routers, is ignored.
    static constexpr Millis EndLifetime{10000};

    /// Returns the hashes of the names of all routers that use a backend server, this one included.
    using RoutersHook = std::function<const std::vector<std::uint64_t> &(const std::string &backend)>;
    /// Called when a limit changes.
    /// @param before rate before, in requests per second; infinity for none.
    using ChangeHook = std::function<void(const std::string &backend, double requestsPerSecond, double before)>;

    /// @param ownHash hash of the name of this router.
    NamedRateLimits(std::uint64_t ownHash, RoutersHook routers, ChangeHook onChange);

    /// Records the rate that @p backend named. A rate below KeptRateShare ends all rights that were given before; slots
    /// that were considered then are not considered again.
    /// @param requestsPerSecond infinity if it named none.
    /// @param answeredAt time of the answer; ignored if a later answer is known.
    void record(const std::string &backend, double requestsPerSecond, TimePoint answeredAt);
    /// Returns whether @p backend is known to have a limit, or had one until a short time ago.
    bool isKnown(const std::string &backend) const;
    /// Returns the number of backend servers that have a limit.
    std::size_t count() const;
    /// Takes the slots that have begun and drops those that have expired. Must be called every few slots.
    /// @param unixMillis wall-clock time in milliseconds since the Unix epoch.
    void advance(TimePoint now, std::int64_t unixMillis);
    /// Returns whether this router may send a request to @p backend now.
    bool mayRequest(const std::string &backend) const;
    /// Takes the right to send a request; mayRequest() must be true.
    RequestRight take(const std::string &backend);
    /// Returns whether a right that was taken may still be used: a lower limit has not ended it since.
    bool isValid(const std::string &backend, const RequestRight &right) const;
    /// Returns the right to send a request that was not sent. Of no effect if it is not valid any more.
    void giveBack(const std::string &backend, const RequestRight &right);
    /// Drops the limits of all backend servers whose id @p isStated returns false for: the instance that named the
    /// limit has been replaced or gone for long.
    void retain(const std::function<bool(const std::string &backend)> &isStated);
    /// Drops the limit of @p backend, which has been restarted.
    void forget(const std::string &backend);

private:
    struct Limit
    {
        double requestsPerSecond = 0; ///< Infinity if there is none any more.
        TimePoint answeredAt;
        double rightsRate = 0; ///< Highest rate since the last time at which all rights ended.
        std::uint64_t lowering = 0; ///< Number of that time; rights with another number are invalid.
        std::int64_t lastSlot = -1; ///< Last slot that was considered; -1 if none was.
        std::deque<TimePoint> requests; ///< When the right to each request expires, in ascending order.
    };

    /// Returns whether @p slot of @p backend is this router's.
    bool isOwnSlot(const std::string &backend, std::int64_t slot) const;

    std::uint64_t ownHash;
    RoutersHook routers;
    ChangeHook onChange;
    std::uint64_t loweringCount = 0; ///< Of all limits, so that a limit that was dropped does not get a number again.
    std::map<std::string, Limit> limits; ///< By id of the backend server.
};

}
