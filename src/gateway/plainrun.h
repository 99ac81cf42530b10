#pragma once

#include "requestrun.h"

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

    std::vector<PlacementCandidate> candidates() const;
    /// Waits while all backend servers have long queues, as long as that serves the caller. Sending late requests all
    /// the same would keep the queues long, and every request of the burst would be late.
    /// @return whether there is room.
    boost::asio::awaitable<bool> waitForRoom();
    boost::asio::awaitable<Step> attempt(BackendServer server);
    /// Decides what follows a call that brought no success.
    Step afterFailure() const;

    std::string failure; ///< Why the last call brought no success.
};

}
