#pragma once

#include <string>

namespace Cyclamen
{

/// One target of a route that splits its traffic.
struct WeightedService
{
    std::string service;
    double weight = 1;

    bool operator==(const WeightedService &) const = default;
};

}
