#pragma once

#include "cyclamencross/base/timing.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The load that the load generator produces, set by the flags of `cyclamencross-emu load`; see docs/emulator.md.
struct LoadOptions
{
    std::vector<std::string> entries; ///< Caller addresses of the entries, IP:PORT.
    double rate = 5; ///< New requests per second, without retries.
    double duration = 10; ///< Seconds during which requests arrive.
    std::uint64_t seed = 1;
    std::string model = "model";
    double promptMin = 100; ///< Shortest prompt in tokens.
    double promptMax = 4000; ///< Longest prompt in tokens.
    double outputMin = 16; ///< Shortest answer in tokens.
    double outputMax = 64; ///< Longest answer in tokens.
    std::size_t workspaces = 5;
    double prefixShare = 0.5; ///< Share of prompts that begin with a text that is common to their workspace.
    double cancelShare = 0; ///< Share of streams that the caller cancels.
    std::string service; ///< Name of a plain service; empty for model requests only.
    double serviceShare = 0; ///< Share of requests that are service calls.
    double keyShare = 0.5; ///< Share of service calls with an Idempotency-Key.
    double ticketShare = 0; ///< Share of the calls with a key whose key is a ticket.
    double resendShare = 0; ///< Share of calls with a key that are sent again after the answer.
    int retries = 0; ///< Maximum number of further attempts after a failed or late one.
    Millis retryDelay{100}; ///< Mean wait before a retry.
    Millis readTimeout{30000}; ///< An attempt is given up as late if no data arrives for this time.
    Millis firstOutputTarget{420}; ///< Longest time to the first output of a good request.
    Millis outputGapTarget{74}; ///< Longest mean time between outputs of a good request.
    std::size_t maxInProgress = 2000; ///< Requests beyond this number are not sent.
};

}
