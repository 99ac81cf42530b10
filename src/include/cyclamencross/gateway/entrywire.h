#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// Encodes and decodes the protocol by which callers look up router addresses and the platform checks readiness.
struct EntryWire
{
    std::string readyPath;
    std::string resolvePath; ///< Path of the address lookup, without the query.
    /// Returns the body of the response to an address lookup.
    /// @param keepSeconds how long callers may cache the addresses.
    std::function<std::string(const std::vector<std::string> &addresses, int keepSeconds)> encodeAddresses;
};

}
