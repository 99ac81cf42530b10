#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// Gives granted room back, or withdraws an ask.
struct SlotRelease
{
    std::string requestId;
    std::string engine;
    std::uint64_t number = 0; ///< Number of the newest ask that it covers; 0 for any.

    bool operator==(const SlotRelease &) const = default;
};

}
