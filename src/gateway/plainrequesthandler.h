#pragma once

#include "requestrun.h"

#include <optional>
#include <vector>

namespace Cyclamen
{

struct PlacementCandidate;

/// Handles a request whose answer is passed on as a whole.
class PlainRun : public RequestRun
{
public:
    using RequestRun::RequestRun;

protected:
    boost::asio::awaitable<void> serve() override;

private:
    enum class Step : std::uint8_t {
        Done,
        Again, ///< Another backend server may be tried.
        GiveUp,
    };

    /// Waits while all backend servers have long queues, as long as that serves the caller. Sending late requests all
    /// the same would keep the queues long, and every request of the burst would be late.
    /// @return the backend servers to choose from, empty if there are none; nothing if there is no room.
    boost::asio::awaitable<std::optional<std::vector<PlacementCandidate>>> waitForRoom();
    boost::asio::awaitable<Step> attempt(BackendServer server);
    /// Decides what follows a call that brought no success.
    Step afterFailure() const;
};

}
