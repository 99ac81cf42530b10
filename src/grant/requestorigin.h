#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Cyclamen
{

/// The parts of a request id, ENTRY.INCARNATIONHEX.N, that tell whose request it is.
struct RequestName
{
    std::string entry;
    std::uint64_t incarnation = 0;

    bool operator==(const RequestName &) const = default;
};

/// Returns the parts of @p requestId, or nothing if it was not made by an entry.
std::optional<RequestName> parseRequestId(std::string_view requestId);

}
