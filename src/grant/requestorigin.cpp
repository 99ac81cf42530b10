#include "requestorigin.h"

#include <charconv>

namespace Cyclamen
{

std::optional<RequestName> parseRequestId(std::string_view requestId)
{
    // Read from the right, since an entry's name may contain dots.
    const std::size_t lastDot = requestId.rfind('.');
    if (lastDot == std::string_view::npos || lastDot == 0) {
        return std::nullopt;
    }
    const std::size_t firstDot = requestId.rfind('.', lastDot - 1);
    if (firstDot == std::string_view::npos || firstDot == 0) {
        return std::nullopt;
    }
    const std::string_view hex = requestId.substr(firstDot + 1, lastDot - firstDot - 1);
    RequestName name{std::string(requestId.substr(0, firstDot)), 0};
    const auto parsed = std::from_chars(hex.data(), hex.data() + hex.size(), name.incarnation, 16);
    if (hex.empty() || parsed.ec != std::errc() || parsed.ptr != hex.data() + hex.size()) {
        return std::nullopt;
    }
    return name;
}

}
