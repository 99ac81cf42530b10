#pragma once

#include "loadoptions.h"
#include "requestplan.h"

#include <optional>
#include <random>

namespace Cyclamen
{

/// Generates the random requests of a run. The same options give the same requests on every machine with the same
/// standard library.
class RequestPlanner
{
public:
    explicit RequestPlanner(const LoadOptions &options);

    /// Returns the next request, or nothing if it would arrive after the end of the run.
    std::optional<RequestPlan> next();

private:
    /// Returns true with probability @p share.
    bool drawBool(double share);
    /// Returns a number between @p low and @p high whose logarithm is uniformly distributed.
    double drawLogUniform(double low, double high);

    LoadOptions options;
    std::mt19937_64 generator;
    double arrivalSeconds = 0; ///< Arrival of the latest request, since the start of the run.
    std::uint64_t lastNumber = 0;
};

}
