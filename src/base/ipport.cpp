#include "cyclamencross/base/ipport.h"

#include <charconv>

#include <arpa/inet.h>

namespace Cyclamen
{

std::optional<IpPort> parseIpPort(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    IpPort address;
    address.ip = text.substr(0, colon);
    in_addr binary{};
    if (inet_pton(AF_INET, address.ip.c_str(), &binary) != 1) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error != std::errc() || end != digits.data() + digits.size() || address.port == 0) {
        return std::nullopt;
    }
    return address;
}

}
