#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/route/urgency.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Cyclamen
{

/// The requests of one router that look for room, in the order of their urgency. Only the first one of a service tries,
/// so that a less urgent or later request does not take the room that one before it waits for. Not thread-safe.
class UrgencyQueue
{
public:
    using Ticket = std::uint64_t;

    /// How long a request that found no room holds back others of its class. A long prompt then has room at an engine
    /// gathered for it instead of losing each bit to shorter ones; one that no engine has room for must not stop the
    /// rest. Ten attempts of a request that is on time.
    static constexpr Millis HoldTime{300};

    /// Adds a request that looks for room.
    /// @param request id, for the log of those that wait behind it.
    /// @param wake called by wakeFirst().
    Ticket add(const std::string &service, const std::string &request, const Urgency &urgency,
               std::function<void()> wake = nullptr);
    /// Replaces the urgency of a request, whose place among equals stays.
    void update(Ticket ticket, const Urgency &urgency);
    /// Records that a request was first in order but found no room.
    void recordNoRoom(Ticket ticket, TimePoint now);
    /// Removes a request that has found room or given up.
    void remove(Ticket ticket);
    /// Returns the id of a request of the same service that goes before this one at @p now; std::nullopt if this one
    /// may try.
    std::optional<std::string> ahead(Ticket ticket, TimePoint now) const;
    /// Returns the first request of a service at @p now; std::nullopt if there is none.
    std::optional<Ticket> first(const std::string &service, TimePoint now) const;
    /// Has the first request of a service try at once, after another one has found room and was removed. Otherwise
    /// each would try only at its next usual time, and a long queue would not use the room at the end of a burst.
    void wakeFirst(const std::string &service, TimePoint now) const;
    /// Returns the number of requests that look for room, by service and priority.
    std::map<std::pair<std::string, int>, std::int64_t> counts() const;

private:
    struct Entry
    {
        std::string service;
        std::string request;
        Urgency urgency;
        std::function<void()> wake;
        std::optional<TimePoint> noRoomSince;
    };
    std::map<Ticket, Entry> entries; ///< In the order of arrival.
    Ticket lastTicket = 0;
};

}
