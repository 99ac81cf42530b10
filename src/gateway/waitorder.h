#pragma once

#include "workreservation.h"

#include "cyclamencross/route/capacitywait.h"
#include "cyclamencross/route/urgency.h"
#include "cyclamencross/route/urgencyqueue.h"

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Cyclamen
{

class LogLine;
class RouterState;

/// The place of one request among those of its service that look for room: in the queue of this router, and by its
/// class in the reports to the group. Exists only for services with an order, see RouteTable::hasOrder().
class WaitOrder
{
public:
    /// @param request id of the request, for the log of others.
    /// @param workspace name of the caller's workspace; empty if there is none.
    /// @param urgency urgency without regard to size and share.
    /// @param sizeDraw random number from 0 to 1, see Urgency::withSize().
    WaitOrder(RouterState &state, std::string service, const std::string &request, std::string workspace,
              const Urgency &urgency, double sizeDraw);
    ~WaitOrder();
    WaitOrder(const WaitOrder &) = delete;
    WaitOrder &operator=(const WaitOrder &) = delete;

    /// Returns what is known of others at @p now, and updates the urgency of this request before.
    /// @param isReported whether this request is itself counted as waiting on time for the service.
    CapacityWait::Others others(bool isReported, TimePoint now);
    /// Records what the request does now, for the order, the log and the metrics.
    void recordAction(CapacityWait::Action action, const CapacityWait::Others &others, TimePoint now);
    /// Tells the group that the request waits, as long as it is on time.
    void report(TimePoint now);
    /// Records that the request has found room, takes it out of the queue and has the next one try.
    void recordRoom(TimePoint now);
    /// Sleeps for @p duration, or until the request is the first one after another has found room.
    boost::asio::awaitable<void> sleep(Millis duration);
    /// Adds the request's urgency, who was ahead of it and why it gave up, if it did.
    void describe(LogLine &line) const;
    /// Returns the expected wait for which the request gave up early; std::nullopt if it did not.
    std::optional<Millis> earlyRefusal() const;

private:
    /// Returns whether the request's workspace uses more than its share of the service.
    bool isOverShare() const;
    void count(const char *metric) const;

    RouterState &state;
    /// Shared, since the coroutine frames of unfinished requests may outlive RouterState.
    std::shared_ptr<UrgencyQueue> queue;
    std::string service;
    std::string workspace;
    Urgency urgency;
    double sizeDraw;
    TimePoint start;
    UrgencyQueue::Ticket ticket;
    std::optional<TimePoint> noRoomSince;
    std::optional<std::string> aheadHere; ///< Id of the last request at this router that went first.
    std::int64_t aheadInGroup = 0; ///< Largest number of more urgent requests of the group that went first.
    bool yielded = false;
    std::optional<Millis> refusedFor;
    int reportedClass = -1;
    bool isQueued = true;
    boost::asio::steady_timer timer; ///< Of sleep().
    std::unique_ptr<WorkReservation> classReservation; ///< Counts the request in RouterState::waiting by its class.
};

}
