#pragma once

#include "cyclamencross/gateway/backendcall.h"
#include "cyclamencross/gateway/backendresponsehead.h"
#include "cyclamencross/gateway/ordercall.h"
#include "cyclamencross/gateway/prefillresult.h"
#include "cyclamencross/gateway/routerrequest.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Cyclamen
{

/// Encodes and decodes the platform's protocol with callers and backend servers. The functions are stateless and make
/// no routing decisions.
struct BackendCodec
{
    /// Fills the fields of a request from its headers and removes the headers that the router sets itself.
    std::function<void(RouterRequest &)> decodeRequest;
    /// Returns the headers of @p request for the backend server.
    std::function<HeaderList(const RouterRequest &request, const BackendCall &call)> encodeCall;
    /// Returns the headers of @p request for another router that serves it, which are those of the caller.
    /// @param timeLeft how long the caller still waits.
    /// @param lastEventId of the last event that the caller has received; std::nullopt if it has received none.
    /// @param resumedId id of the caller's attempt that began the stream; empty if that is not known.
    std::function<HeaderList(const RouterRequest &request, std::optional<Millis> timeLeft,
                             std::optional<std::int64_t> lastEventId, const std::string &resumedId)>
        encodeForPeer;
    /// Decodes the head of a backend server's response.
    std::function<BackendResponseHead(int status, const HeaderList &headers)> decodeResponseHead;
    /// Decodes the body of an engine's response to a prefill call; std::nullopt if it is malformed.
    std::function<std::optional<PrefillResult>(std::string_view body)> decodePrefill;
    /// Returns the method and target of the call that frees the KV cache of a handle, such as "DELETE /path".
    std::function<std::string(const std::string &handle)> releaseKvCacheCall;
    /// Returns the call that reserves a slot and memory at an engine: the method and target "METHOD /path", and the
    /// body.
    std::function<std::pair<std::string, std::string>(std::int64_t tokens, Millis lifetime)> reserveCall;
    /// Decodes the body of the response to a reserve call into the token of the reservation; std::nullopt if it is
    /// malformed.
    std::function<std::optional<std::string>(std::string_view body)> decodeReservation;
    /// Returns the method and target of the call that releases a reservation.
    std::function<std::string(const std::string &token)> releaseReservationCall;
    /// Returns the order to the engine @p backend to change its stage.
    /// @param holder name of the router that gives the order.
    /// @param fencingToken increases with each new holder.
    std::function<OrderCall(const std::string &backend, EngineStage stage, const std::string &holder,
                            std::uint64_t fencingToken)>
        stageOrder;
    /// Returns the headers of a refusal that tell the caller when to retry.
    std::function<HeaderList(Millis retryAfter)> refusalHeaders;
};

}
