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
    HeaderList headers; ///< To be forwarded: without those of one connection and those that are the router's to set.
    std::string body;
    TimePoint received; ///< When its header was complete.

    std::string id; ///< Names one attempt of the caller.
    std::optional<Millis> timeLeft; ///< How long the caller waits, counted from the receipt.
    std::int64_t promptTokens = 0; ///< 0 where the request is no generation.
    std::int64_t maxOutputTokens = 0;
    std::int64_t likelyOutputTokens = 0; ///< The caller's estimate; 0 if it gives none.
    std::optional<std::int64_t> lastEventId; ///< Set where the caller resumes a stream.

    bool operator==(const RouterRequest &) const = default;
};

}
