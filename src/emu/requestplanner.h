#pragma once

#include "loadoptions.h"
#include "requestplan.h"

#include <optional>
#include <random>

namespace Cyclamen
{

/// Draws the requests of a run. The same options give the same requests on every machine that has the same standard
/// library.
class RequestPlanner
{
public:
    explicit RequestPlanner(const LoadOptions &options);

    /// Returns the next request, or nothing when the duration of the run has passed.
    std::optional<RequestPlan> next();

private:
    bool chance(double share);
    double logUniform(double low, double high);

    LoadOptions options;
    std::mt19937_64 random;
    double now = 0;
    std::uint64_t number = 0;
};

}
