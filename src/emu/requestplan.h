#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// The actions of one caller of the load generator, generated before the request is sent.
struct RequestPlan
{
    std::uint64_t number = 0;
    Micros arrival{0}; ///< Since the start of the run.
    std::string workspace;
    bool isServiceCall = false; ///< A call of a plain service instead of a model request.
    std::size_t promptTokens = 0;
    bool sharedPrefix = false; ///< The prompt begins with a text that is common to its workspace.
    int outputTokens = 0;
    int cancelAfter = -1; ///< The caller cancels once it has received more outputs than this; -1 for never.
    bool hasKey = false; ///< The service call has an Idempotency-Key.
    bool usesTicket = false; ///< The key is a ticket from an entry.
    bool resendAfterAnswer = false; ///< A call with a key is sent again after its answer.
    std::uint64_t seed = 0; ///< Seed for the prompt and for random choices during the request.
};

/// Returns the prompt of @p plan. The same plan always gives the same prompt.
std::string makePrompt(const RequestPlan &plan);

}
