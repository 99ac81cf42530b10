#pragma once

#include "cyclamencross/base/timing.h"

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// What one caller of the load generator is going to do, drawn before the run is under way.
struct RequestPlan
{
    std::uint64_t number = 0;
    Micros arrival{0}; ///< Since the start of the run.
    std::string workspace;
    bool isService = false;
    std::size_t promptTokens = 0;
    bool sharedPrefix = false;
    int outputTokens = 0;
    int cancelAfter = -1; ///< Number of outputs after which the caller leaves; -1 for never.
    bool keyed = false;
    bool ticket = false;
    bool resend = false;
    std::uint64_t seed = 0; ///< For the choices that depend on the course of the request.
};

/// Returns the prompt of @p plan, which depends only on the plan.
std::string promptOf(const RequestPlan &plan);

}
