#pragma once

#include "cyclamencross/gateway/backendanswer.h"
#include "cyclamencross/gateway/backendcall.h"
#include "cyclamencross/gateway/readprompt.h"
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
struct BackendWire
{
    /// Fills the fields of a request from its headers and removes the headers that the router sets itself.
    std::function<void(RouterRequest &)> decodeRequest;
    /// Returns the headers of @p request for the backend server.
    std::function<HeaderList(const RouterRequest &request, const BackendCall &call)> encodeCall;
    /// Decodes the head of a backend server's response.
    std::function<BackendAnswer(int status, const HeaderList &headers)> decodeAnswer;
    /// Decodes the body of an engine's response to a prefill call; std::nullopt if it is malformed.
    std::function<std::optional<ReadPrompt>(std::string_view body)> decodePrefill;
    /// Returns the method and target of the call that frees the KV cache of a handle, such as "DELETE /path".
    std::function<std::string(const std::string &handle)> releaseCall;
    /// Returns the call that holds a slot and memory at an engine: the method and target "METHOD /path", and the body.
    std::function<std::pair<std::string, std::string>(std::int64_t tokens, Millis lifetime)> holdCall;
    /// Decodes the body of the response to a hold call into the token of the hold; std::nullopt if it is malformed.
    std::function<std::optional<std::string>(std::string_view body)> decodeHold;
    /// Returns the method and target of the call that releases a hold.
    std::function<std::string(const std::string &hold)> dropHoldCall;
    /// Returns the headers of a refusal that tell the caller when to retry.
    std::function<HeaderList(Millis retryAfter)> refusalHeaders;
};

}
