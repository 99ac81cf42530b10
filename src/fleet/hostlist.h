#pragma once

#include "cyclamencross/base/backend.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The list of backend servers that the platform publishes.
struct HostList
{
    std::uint64_t version = 0;
    std::vector<Backend> backends; ///< Sorted by address.

    bool operator==(const HostList &) const = default;
};

/// Parses the response body of GET /v1/hosts. Hosts of unknown kinds are skipped.
/// @return the list, or nothing if @p json is malformed.
std::optional<HostList> parseHostList(const std::string &json);

}
