#pragma once

#include <cstdint>
#include <string>

namespace Cyclamen
{

/// A backend server that a host list shows as leaving or does not show any more. It spreads by gossip, so that entries
/// whose own list is late or that cannot reach the platform give it no new work either.
struct BackendNews
{
    std::string address;
    std::uint64_t listVersion = 0; ///< Of the list that shows it.

    bool operator==(const BackendNews &) const = default;
};

}
