#pragma once

#include "cyclamencross/base/backend.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Cyclamen
{

/// The platform's list of backend servers.
struct HostList
{
    std::uint64_t version = 0;
    std::vector<Backend> backends; ///< Sorted by address.

    bool operator==(const HostList &) const = default;
};

/// Returns the list in the answer of GET /v1/hosts, or nothing if @p json does not follow its interface. Hosts of a
/// kind that this version does not know are left out.
std::optional<HostList> parseHostList(const std::string &json);

}
