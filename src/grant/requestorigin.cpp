#include "requestorigin.h"

#include <charconv>

namespace Cyclamen
{

std::optional<RequestOrigin> parseRequestOrigin(std::string_view requestId)
{
    // Parsed from the right, since an entry's name may contain dots.
    const std::size_t lastDot = requestId.rfind('.');
    if (lastDot == std::string_view::npos || lastDot == 0) {
        return std::nullopt;
    }
    const std::size_t firstDot = requestId.rfind('.', lastDot - 1);
    if (firstDot == std::string_view::npos || firstDot == 0) {
        return std::nullopt;
    }
    const std::string_view incarnationHex = requestId.substr(firstDot + 1, lastDot - firstDot - 1);
    RequestOrigin origin{std::string(requestId.substr(0, firstDot)), 0};
    const auto parsed =
        std::from_chars(incarnationHex.data(), incarnationHex.data() + incarnationHex.size(), origin.incarnation, 16);
    if (incarnationHex.empty() || parsed.ec != std::errc()
        || parsed.ptr != incarnationHex.data() + incarnationHex.size()) {
        return std::nullopt;
    }
    return origin;
}

}
