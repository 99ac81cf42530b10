#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamen
{

/// What the callers of the load generator do. The flags of `cyclamencross-emu load` set it; see docs/emulator.md.
struct LoadOptions
{
    std::vector<std::string> entries; ///< Addresses of the entries' caller ports.
    double rate = 5; ///< Fresh requests per second.
    double duration = 10; ///< Seconds during which requests arrive.
    std::uint64_t seed = 1;
    std::string model = "model";
    double promptMin = 100; ///< Tokens.
    double promptMax = 4000;
    double outputMin = 16; ///< Tokens.
    double outputMax = 64;
    std::size_t workspaces = 5;
    double prefixShare = 0.5; ///< Share of prompts that begin with a text shared in their workspace.
    double cancelShare = 0; ///< Share of streams that the caller cancels.
    std::string service; ///< Name of a plain service; empty for model requests only.
    double serviceShare = 0; ///< Share of requests that are service calls.
    double keyShare = 0.5; ///< Share of service calls with an Idempotency-Key.
    double ticketShare = 0; ///< Share of those whose key is a ticket.
    double resendShare = 0; ///< Share of calls with a key that the caller sends again after the answer.
    int retries = 0; ///< Further attempts after a refusal or a late answer.
    Millis retryDelay{100}; ///< Mean wait before a retry.
    Millis patience{30000}; ///< A caller gives an attempt up if nothing comes for this time.
    Millis firstTarget{420};
    Millis betweenTarget{74};
    std::size_t maxInProgress = 2000;
};

}
