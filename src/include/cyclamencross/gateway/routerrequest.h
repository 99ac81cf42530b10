#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/headerlist.h"
#include "cyclamencross/gateway/requestbody.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// A complete request of a caller.
struct RouterRequest
{
    std::string method;
    std::string target; ///< Path and query as sent.
    std::string host;
    HeaderList headers; ///< To be forwarded: without hop-by-hop headers and those that the router sets itself.
    RequestBody body;
    bool fromPeer = false; ///< Another router has handed the caller's request on.
    TimePoint received; ///< When the header was received completely.

    std::string apiKey; ///< Empty if the caller sent none. Must not be logged.
    std::string id; ///< Identifies one attempt of the caller.
    std::optional<Millis> timeLeft; ///< How long the caller waits, counted from `received`.
    std::int64_t promptTokens = 0; ///< 0 if the request does not generate tokens.
    std::int64_t maxOutputTokens = 0; ///< Limit set by the caller.
    std::int64_t expectedOutputTokens = 0; ///< The caller's estimate; 0 if there is none.
    std::optional<std::int64_t> lastEventId; ///< Set if the caller resumes a stream.
    std::string resumedId; ///< Id of the caller's attempt that began the stream; empty if the caller names none.
    /// Ids of the prompt's parts that other requests may share, in the order of the prompt. The last part belongs to
    /// this request or its session only and is left out.
    std::vector<std::string> sharedPromptParts;

    bool operator==(const RouterRequest &) const = default;
};

}
