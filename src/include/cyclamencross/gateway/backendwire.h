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

/// Translates between the router and what callers and backend servers speak. The hooks hold no state and decide
/// nothing.
struct BackendWire
{
    /// Fills the fields of a request from its headers and removes the headers that are the router's to set.
    std::function<void(RouterRequest &)> decodeRequest;
    /// Returns the headers of @p request as they go to the backend server.
    std::function<HeaderList(const RouterRequest &request, const BackendCall &call)> encodeCall;
    std::function<BackendAnswer(int status, const HeaderList &headers)> decodeAnswer;
    /// Decodes the body of an engine's answer to a prefill call; nothing if it is malformed.
    std::function<std::optional<ReadPrompt>(std::string_view body)> decodePrefill;
    /// Returns the method and target of the call that frees a handle, such as "DELETE /path".
    std::function<std::string(const std::string &handle)> releaseCall;
    /// Returns the call that reserves a slot and memory at an engine: the line "METHOD /path" and the body.
    std::function<std::pair<std::string, std::string>(std::int64_t tokens, Millis lifetime)> holdCall;
    /// Decodes the body of the answer to a hold call; nothing if it is malformed.
    std::function<std::optional<std::string>(std::string_view body)> decodeHold;
    /// Returns the method and target of the call that gives a reservation back.
    std::function<std::string(const std::string &hold)> dropHoldCall;
    /// Returns the headers of a refusal that tells the caller when to come back.
    std::function<HeaderList(Millis comeBackIn)> refusalHeaders;
};

}
