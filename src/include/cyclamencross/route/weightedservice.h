#pragma once

#include <string>

namespace Cyclamen
{

/// A service that gets a part of the requests of a route.
struct WeightedService
{
    std::string service;
    double weight = 1; ///< Share of the requests, relative to the weights of the other services.

    bool operator==(const WeightedService &) const = default;
};

}
