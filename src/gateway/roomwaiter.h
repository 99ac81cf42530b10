#pragma once

#include "workreservation.h"

#include "cyclamencross/route/roomwait.h"

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

namespace Cyclamen
{

class RouterState;

/// One request that waits for room at the backend servers of its service. While it can still be on time, the routers of
/// the group are told that it waits.
class RoomWaiter
{
public:
    RoomWaiter(RouterState &state, std::string service, const RoomWait &wait);

    /// Returns what the request does now.
    RoomWait::Turn turn() const;
    /// Waits until the next look for room.
    boost::asio::awaitable<void> pause();

private:
    RouterState &state;
    std::string service;
    RoomWait wait;
    std::unique_ptr<WorkReservation> place; ///< Among the requests that can still be on time.
};

}
