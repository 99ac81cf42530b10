#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Message that releases a grant, or withdraws a slot request.
struct SlotRelease
{
    std::string requestId;
    std::string engine;
    std::uint64_t number = 0; ///< Number of the newest slot request that it covers; 0 for any.

    bool operator==(const SlotRelease &) const = default;
};

}
