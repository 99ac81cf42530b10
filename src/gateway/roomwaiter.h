#pragma once

#include "workreservation.h"

#include "cyclamencross/route/roomwait.h"

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class RouterState;

/// Waits for room, that is free capacity, at the backend servers of one request's service. While the request can still
/// be on time, the routers of the group are told that it waits, so that late requests yield to it.
class RoomWaiter
{
public:
    RoomWaiter(RouterState &state, std::string service, const RoomWait &wait);

    /// Returns whether the request looks for room now, yields to others or stops waiting.
    RoomWait::Turn turn() const;
    /// Sleeps until the next look for room and updates whether the request is counted as waiting and on time.
    boost::asio::awaitable<void> pause();

private:
    RouterState &state;
    std::string service;
    RoomWait wait;
    /// Counts this request in RouterState::waiting while it can be on time.
    std::unique_ptr<WorkReservation> reservation;
};

}
