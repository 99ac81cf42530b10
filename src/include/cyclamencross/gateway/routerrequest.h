#pragma once

#include "cyclamencross/base/timing.h"
#include "cyclamencross/gateway/headerlist.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Cyclamen
{

/// A complete request of a caller.
struct RouterRequest
{
    std::string method;
    std::string target; ///< Path and query as sent.
    std::string host;
    HeaderList headers; ///< To be forwarded: without hop-by-hop headers and those that the router sets itself.
    std::string body;
    TimePoint received; ///< When the header was received completely.

    std::string id; ///< Identifies one attempt of the caller.
    std::optional<Millis> timeLeft; ///< How long the caller waits, counted from `received`.
    std::int64_t promptTokens = 0; ///< 0 if the request does not generate tokens.
    std::int64_t maxOutputTokens = 0; ///< Limit set by the caller.
    std::int64_t likelyOutputTokens = 0; ///< The caller's estimate; 0 if there is none.
    std::optional<std::int64_t> lastEventId; ///< Set if the caller resumes a stream.

    bool operator==(const RouterRequest &) const = default;
};

}
