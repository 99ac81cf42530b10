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
    std::uint64_t sequenceNumber = 0; ///< Sequence number of the newest slot request that it covers; 0 for any.

    bool operator==(const SlotRelease &) const = default;
};

}
