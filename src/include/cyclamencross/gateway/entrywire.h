#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Cyclamen
{

/// Translates the calls by which callers ask for an address and the platform asks whether the router is ready.
struct EntryWire
{
    std::string readyPath;
    std::string resolvePath; ///< Without the query.
    /// Returns the body of the answer that names the addresses to connect to.
    std::function<std::string(const std::vector<std::string> &addresses, int keepSeconds)> encodeAddresses;
};

}
