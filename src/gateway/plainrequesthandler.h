#pragma once

#include "requesthandler.h"

#include <optional>
#include <vector>

namespace Cyclamen
{

struct PlacementCandidate;

/// Handles a request whose response is forwarded to the caller once it is complete.
class PlainRequestHandler : public RequestHandler
{
public:
    using RequestHandler::RequestHandler;

protected:
    boost::asio::awaitable<void> serve() override;

private:
    enum class AttemptResult : std::uint8_t {
        Done, ///< The caller has received the response.
        Retry, ///< Another backend server may be tried.
        Fail,
    };

    /// Waits while the queues of all backend servers are long, up to a part of the remaining time. Sending the requests
    /// of a burst regardless would keep the queues long and make all of them late.
    /// @return the backend servers to choose from, empty if there are none; std::nullopt if no capacity was found in
    /// time.
    boost::asio::awaitable<std::optional<std::vector<PlacementCandidate>>> waitForCapacity();
    /// Sends the request to @p server and forwards a successful response.
    boost::asio::awaitable<AttemptResult> attempt(BackendServer server);
    /// Returns whether this router is stopping and may exit before the caller has read the answer, while other routers
    /// can serve the request.
    bool isCutByStop() const;
    /// Returns Retry if the request is repeatable and has attempts left, otherwise Fail.
    AttemptResult resultAfterFailure() const;
};

}
