#pragma once

#include "workreservation.h"

#include "cyclamencross/route/capacitywait.h"

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class RouterState;
class WaitOrder;

/// Waits for free capacity at the backend servers of one request's service. While the request can still
/// be on time, the routers of the group are told that it waits, so that late requests yield to it.
class CapacityWaiter
{
public:
    /// @param endsWithStop whether the wait ends when the router is stopping and refuses requests: another router can
    /// serve the request whole.
    /// @param order place of the request in the order of its service; nullptr if the service has none.
    CapacityWaiter(RouterState &state, std::string service, const CapacityWait &wait, bool endsWithStop,
                   std::unique_ptr<WaitOrder> order);
    ~CapacityWaiter();

    /// Returns whether the request tries to get capacity now, yields to others or stops waiting.
    CapacityWait::Action nextAction();
    /// Sleeps until the next attempt and updates whether the request is counted as waiting and on time.
    boost::asio::awaitable<void> pause();
    /// Returns the place of the request in the order of its service; nullptr if the service has none.
    WaitOrder *order() const;

private:
    RouterState &state;
    std::string service;
    CapacityWait wait;
    bool endsWithStop;
    std::unique_ptr<WaitOrder> placeInOrder;
    /// Counts this request in RouterState::waiting while it can be on time.
    std::unique_ptr<WorkReservation> reservation;
};

}
