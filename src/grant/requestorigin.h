#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// The entry that created a request, as encoded in the request id: ENTRY.INCARNATIONHEX.N.
struct RequestOrigin
{
    std::string entry;
    std::uint64_t incarnation = 0;

    bool operator==(const RequestOrigin &) const = default;
};

/// Parses the origin of @p requestId. Returns nothing if the id was not created by an entry.
std::optional<RequestOrigin> parseRequestOrigin(std::string_view requestId);

}
